package questionnaire

import (
	"fmt"

	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/strictjson"
)

// Parse parses and checks a questionnaire; name is the file that faults are
// reported in. The error is strictjson.Faults with codes 603 to 608 and holds
// every fault of the file. In an accepted questionnaire defaults are filled in
// and every service has a shape.
func Parse(name string, data []byte) (*Questionnaire, error) {
	q := &Questionnaire{}
	codes := strictjson.Codes{Syntax: result.QuestionnaireSyntax, Field: result.QuestionnaireField}
	doc := strictjson.Decode(name, data, q, codes)
	if doc.Usable() {
		c := &checker{doc: doc, q: q}
		c.check()
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return q, nil
}

// checker collects the faults of a decoded questionnaire.
type checker struct {
	doc *strictjson.Document
	q   *Questionnaire
}

func (c *checker) check() {
	if c.q.Format != FormatVersion {
		c.value("format", fmt.Sprintf("got %d", c.q.Format), fmt.Sprintf("this version reads format %d", FormatVersion))
		return
	}
	c.deployment()
	c.resolveShapes()
	for i := range c.q.Services {
		c.service(fmt.Sprintf("services[%d]", i), &c.q.Services[i])
	}
	c.uniqueServices()
	if c.doc.Err() != nil {
		return
	}
	// What follows compares answers that are each in range.
	c.uniqueAddresses()
	c.totalSize()
	for i := range c.q.Services {
		c.capacity(fmt.Sprintf("services[%d]", i), &c.q.Services[i])
		c.deadlines(fmt.Sprintf("services[%d]", i), &c.q.Services[i])
	}
}

func (c *checker) value(path, reason, remedy string) {
	c.doc.AddFault(result.QuestionnaireValue, path, reason, remedy)
}

func (c *checker) reference(path, reason, remedy string) {
	c.doc.AddFault(result.QuestionnaireReference, path, reason, remedy)
}

// within checks that a required number is in range.
func (c *checker) within(path string, v, low, high int) {
	switch {
	case !c.doc.HasField(path):
		c.value(path, "the answer is missing", fmt.Sprintf("give a number from %d to %d", low, high))
	case v < low || v > high:
		c.value(path, fmt.Sprintf("got %d", v), fmt.Sprintf("want %d to %d", low, high))
	}
}

// required reports whether a field that has no default is given.
func (c *checker) required(path, remedy string) bool {
	if c.doc.HasField(path) {
		return true
	}
	c.value(path, "the answer is missing", remedy)
	return false
}
