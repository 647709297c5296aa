package settings

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Fault is one error in a settings file. Line and Column count from 1. For a
// missing value they are those of the nearest enclosing value.
type Fault struct {
	Line    int
	Column  int
	Message string
}

// Error implements error.
func (f Fault) Error() string { return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Message) }

// Faults lists all errors of a settings file, ordered by position.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

var syntaxPosition = regexp.MustCompile(`line (\d+), column (\d+): (.*)$`)

func syntaxFaults(err error) Faults {
	m := syntaxPosition.FindStringSubmatch(err.Error())
	if m == nil {
		return Faults{{Line: 1, Column: 1, Message: err.Error()}}
	}
	line, _ := strconv.Atoi(m[1])
	column, _ := strconv.Atoi(m[2])
	return Faults{{Line: line, Column: column, Message: m[3] + "; settings are JSON, with comments and trailing commas"}}
}

// checker collects the faults of one file.
type checker struct {
	text   []byte
	tree   hujson.Value
	faults Faults
}

func newChecker(text []byte, tree hujson.Value) *checker { return &checker{text: text, tree: tree} }

func (c *checker) sorted() Faults {
	slices.SortFunc(c.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Message, b.Message))
	})
	return slices.Compact(c.faults)
}

func (c *checker) require(ok bool, path, message string) {
	if !ok {
		c.fault(path, message)
	}
}

// fault records a message at the value at path, or at the nearest enclosing value.
func (c *checker) fault(path, message string) {
	value := c.tree.Find(path)
	for value == nil && path != "" {
		path = path[:strings.LastIndexByte(path, '/')]
		value = c.tree.Find(path)
	}
	offset := 0
	if value != nil {
		offset = value.StartOffset
	}
	before := c.text[:offset]
	c.faults = append(c.faults, Fault{
		Line:    1 + bytes.Count(before, []byte("\n")),
		Column:  offset - bytes.LastIndexByte(before, '\n'),
		Message: message,
	})
}

// checkFields checks an object against the struct that it is decoded into:
// every member must name a field and have its type.
func (c *checker) checkFields(path string, value *hujson.Value, into any) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		c.fault(path, "give an object in braces here")
		return
	}
	fields := fieldsOf(into)
	for i := range object.Members {
		m := &object.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		memberPath := path + "/" + name
		field, ok := fields[name]
		if !ok {
			c.fault(memberPath, fmt.Sprintf("there is no setting %q here; use one of %s", name, strings.Join(sortedNames(fields), ", ")))
			continue
		}
		c.checkField(memberPath, &m.Value, field)
	}
}

func (c *checker) checkField(path string, value *hujson.Value, field reflect.Type) {
	if field.Kind() == reflect.Struct {
		c.checkFields(path, value, reflect.New(field).Elem().Interface())
		return
	}
	standardized := value.Clone()
	standardized.Standardize()
	err := json.Unmarshal(standardized.Pack(), reflect.New(field).Interface())
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &typeErr):
		c.fault(path, fmt.Sprintf("a %s does not go here; give a %s", typeErr.Value, typeErr.Type))
	case err != nil:
		c.fault(path, err.Error())
	}
}

func fieldsOf(into any) map[string]reflect.Type {
	fields := make(map[string]reflect.Type)
	for _, f := range reflect.VisibleFields(reflect.TypeOf(into)) {
		fields[f.Tag.Get("json")] = f.Type
	}
	return fields
}

func sortedNames(fields map[string]reflect.Type) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
