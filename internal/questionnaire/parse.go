package questionnaire

import (
	"fmt"

	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/strictjson"
)

// Parse parses and validates a questionnaire. Faults are reported with name as
// the file name. The error is of type strictjson.Faults and holds all faults of
// the file, with codes 603 to 608. Capacity, deadlines and address conflicts, which
// depend on several answers, are only checked if no other fault was found. In the
// returned questionnaire, defaults are filled in and each service has a shape.
func Parse(name string, data []byte) (*Questionnaire, error) {
	q := &Questionnaire{}
	codes := strictjson.Codes{Syntax: result.QuestionnaireSyntax, Field: result.QuestionnaireField}
	doc := strictjson.Decode(name, data, q, codes)
	if doc.Usable() {
		c := &checker{doc: doc, q: q}
		c.checkQuestionnaire()
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return q, nil
}

// checker validates a decoded questionnaire and adds its faults to the document.
type checker struct {
	doc *strictjson.Document
	q   *Questionnaire
}

// checkQuestionnaire checks the decoded answers and fills in defaults.
func (c *checker) checkQuestionnaire() {
	if c.q.Format != FormatVersion {
		c.addValueFault("format", fmt.Sprintf("got %d", c.q.Format), fmt.Sprintf("this version reads format %d", FormatVersion))
		return
	}
	c.checkDeployment()
	c.resolveShapes()
	for i := range c.q.Services {
		c.checkService(fmt.Sprintf("services[%d]", i), &c.q.Services[i])
	}
	c.checkServiceNames()
	if c.doc.Err() != nil {
		return
	}
	// The remaining checks combine answers and need each of them to be in range.
	c.checkAddressConflicts()
	c.checkTotalSize()
	for i := range c.q.Services {
		c.checkCapacity(fmt.Sprintf("services[%d]", i), &c.q.Services[i])
		c.checkDeadlines(fmt.Sprintf("services[%d]", i), &c.q.Services[i])
	}
}

func (c *checker) addValueFault(path, reason, remedy string) {
	c.doc.AddFault(result.QuestionnaireValue, path, reason, remedy)
}

func (c *checker) addReferenceFault(path, reason, remedy string) {
	c.doc.AddFault(result.QuestionnaireReference, path, reason, remedy)
}

// checkRange checks that a required number is present and in range.
func (c *checker) checkRange(path string, v, low, high int) {
	switch {
	case !c.doc.HasField(path):
		c.addValueFault(path, "the answer is missing", fmt.Sprintf("give a number from %d to %d", low, high))
	case v < low || v > high:
		c.addValueFault(path, fmt.Sprintf("got %d", v), fmt.Sprintf("want %d to %d", low, high))
	}
}

// checkPresent reports whether a required field is present, and adds a fault if
// it is not.
func (c *checker) checkPresent(path, remedy string) bool {
	if c.doc.HasField(path) {
		return true
	}
	c.addValueFault(path, "the answer is missing", remedy)
	return false
}
