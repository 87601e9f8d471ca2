package questionnaire

import (
	"encoding/json"

	"github.com/invopop/jsonschema"
)

// Schema returns the JSON Schema of questionnaires, which editors use to complete
// and validate files. [Parse] validates more than the schema can express.
func Schema() []byte {
	r := jsonschema.Reflector{Anonymous: true, ExpandedStruct: true}
	schema := r.Reflect(&Questionnaire{})
	schema.Title = "gypsumlug questionnaire"
	data, err := json.MarshalIndent(schema, "", "  ")
	if err != nil {
		panic(err)
	}
	return append(data, '\n')
}
