package orioleconfig

import (
	"bytes"
	_ "embed" // for the schema
	"encoding/json"
	"io"
	"net/netip"
	"os"
	"sort"
	"strings"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Schema is the JSON Schema of settings files.
//
//go:embed base.schema.json
var Schema []byte

// Problem is one error in a settings file: the file, the path of the field,
// and the message.
type Problem struct {
	File    string
	Field   string
	Message string
}

func (p Problem) String() string { return p.File + ": " + p.Field + ": " + p.Message }

// Problems is the error for invalid settings. Validation takes several steps; the
// list holds the problems that the first failed step found.
type Problems []Problem

// Error implements the error interface, with one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads a base file and an overlay file and returns the merged settings.
// The name of the overlay may be empty. If a file is invalid, the error is of
// type [Problems].
func Load(base, overlay string) (settings Settings, err error) {
	baseData, err := os.ReadFile(base)
	if err != nil {
		return settings, errors.Wrap(err, "reading the base file")
	}
	if overlay == "" {
		return Parse(base, baseData, "", nil)
	}
	overlayData, err := os.ReadFile(overlay)
	if err != nil {
		return settings, errors.Wrap(err, "reading the overlay")
	}
	return Parse(base, baseData, overlay, overlayData)
}

// Parse validates and merges the contents of a base file and an overlay file;
// the file names appear in errors. The contents of the overlay may be nil.
func Parse(base string, baseData []byte, overlay string, overlayData []byte) (settings Settings, err error) {
	problems := checkFile(base, baseData, false)
	if overlayData != nil {
		problems = append(problems, checkFile(overlay, overlayData, true)...)
	}
	if len(problems) > 0 {
		return settings, problems
	}
	merged := baseData
	if overlayData != nil {
		if problems := checkOverlay(baseData, overlay, overlayData); len(problems) > 0 {
			return settings, problems
		}
		merged, err = jsonpatch.MergePatch(baseData, overlayData)
		if err != nil {
			return settings, errors.Wrap(err, "merging the overlay into the base file")
		}
	}
	name := base
	if overlay != "" {
		name = base + "+" + overlay
	}
	// The merged settings must match the schema as well: the overlay may have
	// removed the last service or route, or added one that lacks required fields.
	if problems := checkFile(name, merged, false); len(problems) > 0 {
		return settings, problems
	}
	settings = Default()
	if err := json.Unmarshal(merged, &settings); err != nil {
		return settings, Problems{{File: name, Field: "/", Message: err.Error()}}
	}
	settings.setDefaults()
	if problems := checkSemantics(name, &settings); len(problems) > 0 {
		return settings, problems
	}
	return settings, nil
}

// checkFile checks the syntax of one file, and its contents against the schema.
// With optionalFields, as for overlays, no field of the settings, of a service or
// of a route is required, and a service or route may be null.
func checkFile(file string, data []byte, optionalFields bool) Problems {
	if problem := checkSyntax(data); problem != nil {
		problem.File = file
		return Problems{*problem}
	}
	schema, err := compileSchema(optionalFields)
	if err != nil {
		return Problems{{File: file, Field: "/", Message: err.Error()}}
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return Problems{{File: file, Field: "/", Message: err.Error()}}
	}
	err = schema.Validate(value)
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return nil
	}
	problems := flatten(file, invalid, nil)
	sort.Slice(problems, func(i, j int) bool { return problems[i].String() < problems[j].String() })
	return problems
}

// flatten appends the leaf causes of a validation error to problems.
func flatten(file string, e *jsonschema.ValidationError, problems Problems) Problems {
	if len(e.Causes) == 0 {
		field := "/" + strings.Join(e.InstanceLocation, "/")
		message := e.Error()
		if i := strings.LastIndex(message, "': "); i >= 0 {
			message = message[i+3:]
		}
		return append(problems, Problem{File: file, Field: field, Message: message})
	}
	for _, cause := range e.Causes {
		problems = flatten(file, cause, problems)
	}
	return problems
}

// compileSchema compiles the schema. If optionalFields is set, it relaxes the
// schema first, see [relaxRequired].
func compileSchema(optionalFields bool) (schema *jsonschema.Schema, err error) {
	defer func() { err = errors.Wrap(err, "compiling the schema of settings") }()
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(Schema))
	if err != nil {
		return nil, err
	}
	if optionalFields {
		relaxRequired(document)
	}
	compiler := jsonschema.NewCompiler()
	compiler.RegisterFormat(&jsonschema.Format{Name: "address", Validate: checkAddress})
	compiler.RegisterFormat(&jsonschema.Format{Name: "span", Validate: checkDuration})
	compiler.AssertFormat()
	if err := compiler.AddResource("settings.json", document); err != nil {
		return nil, err
	}
	return compiler.Compile("settings.json")
}

// relaxRequired makes the fields of the settings, of services and of routes
// optional, and lets services and routes be null, which removes them. The items of
// arrays keep their required fields, since a merge patch replaces arrays as a
// whole.
func relaxRequired(document any) {
	root, ok := document.(map[string]any)
	if !ok {
		return
	}
	delete(root, "required")
	definitions, _ := root["$defs"].(map[string]any)
	for _, name := range []string{"service", "route"} {
		if definition, ok := definitions[name].(map[string]any); ok {
			delete(definition, "required")
			definitions[name] = map[string]any{"anyOf": []any{definition, map[string]any{"type": "null"}}}
		}
	}
}

func checkAddress(v any) error {
	text, ok := v.(string)
	if !ok {
		return nil
	}
	_, err := netip.ParseAddrPort(text)
	return err
}

func checkDuration(v any) error {
	text, ok := v.(string)
	if !ok {
		return nil
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	if d <= 0 {
		return errors.New("duration must be above 0")
	}
	return nil
}

// checkSyntax detects syntax errors, and what the decoder of the standard library
// accepts: repeated fields and trailing data.
func checkSyntax(data []byte) *Problem {
	decoder := json.NewDecoder(bytes.NewReader(data))
	if problem := checkValue(decoder, "/"); problem != nil {
		return problem
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return &Problem{Field: "/", Message: "there is data after the end of the settings"}
	}
	return nil
}

func checkValue(decoder *json.Decoder, path string) *Problem {
	token, err := decoder.Token()
	if err != nil {
		return &Problem{Field: path, Message: err.Error()}
	}
	switch token {
	case json.Delim('{'):
		return checkObject(decoder, path)
	case json.Delim('['):
		for decoder.More() {
			if problem := checkValue(decoder, path); problem != nil {
				return problem
			}
		}
		_, err = decoder.Token()
	}
	if err != nil {
		return &Problem{Field: path, Message: err.Error()}
	}
	return nil
}

func checkObject(decoder *json.Decoder, path string) *Problem {
	seen := make(map[string]bool)
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return &Problem{Field: path, Message: err.Error()}
		}
		name, _ := token.(string)
		field := strings.TrimSuffix(path, "/") + "/" + name
		if seen[name] {
			return &Problem{Field: field, Message: "field is repeated"}
		}
		seen[name] = true
		if problem := checkValue(decoder, field); problem != nil {
			return problem
		}
	}
	if _, err := decoder.Token(); err != nil {
		return &Problem{Field: path, Message: err.Error()}
	}
	return nil
}
