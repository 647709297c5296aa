// Package query parses the operators' language of spoolbank. All kinds of objects
// share one syntax:
//
//	show targets where hall = nabua and state != up
//	declare pipeline digest model=fiji version=v3 class=1 max_tokens=64
//	set organisation bula weight=4
//	remove event open
//	drain vm walu-bay-1
//	admit target r07
//
// Parse converts a text into a typed Statement and has no other input.
package query

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// ListName names a list that the show statement prints.
type ListName string

// The lists that the show statement prints.
const (
	Config        ListName = "config"
	Events        ListName = "events"
	Leases        ListName = "leases"
	Limits        ListName = "limits"
	Models        ListName = "models"
	Organisations ListName = "organisations"
	Pipelines     ListName = "pipelines"
	Quarantine    ListName = "quarantine"
	Replicas      ListName = "replicas"
	Requests      ListName = "requests"
	Backoffs      ListName = "backoffs"
	Services      ListName = "services"
	Targets       ListName = "targets"
	Unread        ListName = "unread"
	VMs           ListName = "vms"
)

// Lists returns the names of all lists that can be shown, sorted.
func Lists() []ListName {
	return []ListName{Backoffs, Config, Events, Leases, Limits, Models, Organisations, Pipelines, Quarantine, Replicas, Requests, Services, Targets, Unread, VMs}
}

// Statement is a parsed statement. Exactly one field is set.
type Statement struct {
	Show    *Show
	Declare *Declare
	Set     *Declare
	Remove  *config.Ref
	Drain   *config.Ref
	Admit   *config.Ref
}

// IsCommand reports whether the statement changes the configuration.
func (s Statement) IsCommand() bool { return s.Show == nil }

// Show requests the rows of a list that meet all conditions.
type Show struct {
	List  ListName
	Where []Condition
}

// Local reports whether each VM has only its own rows of the list, so that the
// client must query every VM.
func (s Show) Local() bool {
	return s.List == Requests || s.List == Backoffs || s.List == Limits || s.List == Unread
}

// Condition compares a field of a row with a value.
type Condition struct {
	Field string
	// Column is the position of the field in the text, counted from 1.
	Column int
	Op     Op
	Value  string
}

// Op is a comparison operator.
type Op string

// The comparison operators. Two values that parse as numbers are compared as
// numbers, others as strings.
const (
	Equal          Op = "="
	NotEqual       Op = "!="
	Less           Op = "<"
	Greater        Op = ">"
	LessOrEqual    Op = "<="
	GreaterOrEqual Op = ">="
)

// Meets reports whether value satisfies the condition.
func (c Condition) Meets(value string) bool {
	order := compare(value, c.Value)
	switch c.Op {
	case Equal:
		return order == 0
	case NotEqual:
		return order != 0
	case Less:
		return order < 0
	case Greater:
		return order > 0
	case LessOrEqual:
		return order <= 0
	case GreaterOrEqual:
		return order >= 0
	}
	return false
}

func compare(a, b string) int {
	x, errX := strconv.ParseFloat(a, 64)
	y, errY := strconv.ParseFloat(b, 64)
	if errX == nil && errY == nil {
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	}
	return strings.Compare(a, b)
}

// Declare assigns fields of an object.
type Declare struct {
	Ref    config.Ref
	Fields []Field
}

// Field is one assignment. JSON is the encoded value.
type Field struct {
	Name   string
	Column int
	JSON   json.RawMessage
}

// SyntaxError reports where a text is invalid, and what would be valid there.
type SyntaxError struct {
	// Column counts characters from 1.
	Column  int
	Message string
}

// Error implements error.
func (e *SyntaxError) Error() string { return fmt.Sprintf("column %d: %s", e.Column, e.Message) }

// Decode sets the assigned fields and the name of target, a pointer to an object
// of the configuration. Other fields keep their values.
func (d Declare) Decode(target any) error {
	valid := fieldNames(target)
	for _, f := range d.Fields {
		if f.Name == "name" || !slices.Contains(valid, f.Name) {
			return &SyntaxError{f.Column, fmt.Sprintf("a %s has no field %q; use one of %s", d.Ref.Kind, f.Name, strings.Join(valid, ", "))}
		}
		if err := d.decodeField(f, target); err != nil {
			return &SyntaxError{f.Column, fmt.Sprintf("field %q does not take %s; %v", f.Name, f.JSON, err)}
		}
	}
	name, err := json.Marshal(d.Ref.Name)
	if err != nil {
		return fmt.Errorf("name of %s: %w", d.Ref, err)
	}
	return d.decodeField(Field{Name: "name", JSON: name}, target)
}

func (d Declare) decodeField(f Field, target any) error {
	object, err := json.Marshal(map[string]json.RawMessage{f.Name: f.JSON})
	if err != nil {
		return err
	}
	err = json.NewDecoder(bytes.NewReader(object)).Decode(target)
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return fmt.Errorf("give a %s", typeErr.Type)
	}
	return err
}

// fieldNames returns the fields that operators may set, sorted.
func fieldNames(target any) []string {
	excluded := []string{"name", "leaving", "down"}
	var names []string
	for _, f := range reflect.VisibleFields(reflect.TypeOf(target).Elem()) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if !slices.Contains(excluded, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// The grammar, in the struct tags of the parser library.
type (
	statementNode struct {
		Pos     lexer.Position
		Show    *showNode   `parser:"'show' @@"`
		Declare *objectNode `parser:"| 'declare' @@"`
		Set     *objectNode `parser:"| 'set' @@"`
		Remove  *refNode    `parser:"| 'remove' @@"`
		Drain   *refNode    `parser:"| 'drain' @@"`
		Admit   *refNode    `parser:"| 'admit' @@"`
	}
	showNode struct {
		Pos   lexer.Position
		What  string          `parser:"@Word"`
		Where []conditionNode `parser:"('where' @@ ('and' @@)*)?"`
	}
	conditionNode struct {
		Pos   lexer.Position
		Field string `parser:"@Word"`
		Op    string `parser:"@('=' | '!=' | '<=' | '>=' | '<' | '>')"`
		Value string `parser:"@(Word | Text)"`
	}
	refNode struct {
		Pos  lexer.Position
		Kind string `parser:"@Word"`
		Name string `parser:"@(Word | Text)"`
	}
	objectNode struct {
		Ref    refNode     `parser:"@@"`
		Fields []fieldNode `parser:"@@*"`
	}
	fieldNode struct {
		Pos   lexer.Position
		Name  string    `parser:"@Word '='"`
		Value valueNode `parser:"@@"`
	}
	valueNode struct {
		Pos    lexer.Position
		Word   *string     `parser:"@Word"`
		Text   *string     `parser:"| @Text"`
		List   bool        `parser:"| @'['"`
		Values []valueNode `parser:"(@@ (',' @@)*)? ']'"`
	}
)

var (
	tokens = lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Text", Pattern: `"(\\.|[^"\\])*"`},
		{Name: "Word", Pattern: `[A-Za-z0-9_][A-Za-z0-9_.:/+-]*`},
		{Name: "Mark", Pattern: `!=|<=|>=|[=<>\[\],]`},
		{Name: "space", Pattern: `\s+`},
	})
	parser = participle.MustBuild[statementNode](participle.Lexer(tokens), participle.Unquote("Text"))
)

// maxStatementBytes bounds a statement, in bytes.
const maxStatementBytes = 64 << 10

// Parse parses one statement. Its errors are of type *SyntaxError.
func Parse(text string) (Statement, error) {
	if len(text) > maxStatementBytes {
		return Statement{}, &SyntaxError{maxStatementBytes, fmt.Sprintf("the statement is longer than %d bytes; split it", maxStatementBytes)}
	}
	node, err := parser.ParseString("", text)
	if err != nil {
		return Statement{}, syntaxError(err)
	}
	return node.statement()
}

func syntaxError(err error) error {
	var parseErr participle.Error
	if !errors.As(err, &parseErr) {
		return &SyntaxError{1, err.Error()}
	}
	hint := "a statement begins with show, declare, set, remove, drain or admit"
	if parseErr.Position().Column > 1 {
		hint = "`spoolbank help` shows examples"
	}
	return &SyntaxError{max(parseErr.Position().Column, 1), fmt.Sprintf("%s; %s", parseErr.Message(), hint)}
}

func (s statementNode) statement() (Statement, error) {
	switch {
	case s.Show != nil:
		show, err := s.Show.show()
		return Statement{Show: show}, err
	case s.Declare != nil:
		d, err := s.Declare.declare()
		return Statement{Declare: d}, err
	case s.Set != nil:
		d, err := s.Set.declare()
		return Statement{Set: d}, err
	case s.Remove != nil:
		ref, err := s.Remove.ref(config.Removable())
		return Statement{Remove: ref}, err
	case s.Drain != nil:
		ref, err := s.Drain.ref(drainable)
		return Statement{Drain: ref}, err
	default:
		ref, err := s.Admit.ref(drainable)
		return Statement{Admit: ref}, err
	}
}

var drainable = []config.Kind{config.KindTarget, config.KindVM}

func (s showNode) show() (*Show, error) {
	what := ListName(s.What)
	if !slices.Contains(Lists(), what) {
		return nil, &SyntaxError{s.Pos.Column, fmt.Sprintf("there is no list %q; use one of %v", s.What, Lists())}
	}
	show := &Show{List: what}
	for _, c := range s.Where {
		show.Where = append(show.Where, Condition{Field: c.Field, Column: c.Pos.Column, Op: Op(c.Op), Value: c.Value})
	}
	return show, nil
}

func (r refNode) ref(kinds []config.Kind) (*config.Ref, error) {
	kind := config.Kind(r.Kind)
	if !slices.Contains(kinds, kind) {
		return nil, &SyntaxError{r.Pos.Column, fmt.Sprintf("%q can't stand here; use one of %v", r.Kind, kinds)}
	}
	return &config.Ref{Kind: kind, Name: r.Name}, nil
}

func (o objectNode) declare() (*Declare, error) {
	ref, err := o.Ref.ref(config.Kinds())
	if err != nil {
		return nil, err
	}
	d := &Declare{Ref: *ref}
	for _, f := range o.Fields {
		value, err := json.Marshal(f.Value.value())
		if err != nil {
			return nil, &SyntaxError{f.Pos.Column, err.Error()}
		}
		d.Fields = append(d.Fields, Field{Name: f.Name, Column: f.Pos.Column, JSON: value})
	}
	return d, nil
}

// value returns the value for encoding as JSON. A word that is a valid JSON number
// or boolean is encoded as one; a quoted text is always a string.
func (v valueNode) value() any {
	switch {
	case v.Text != nil:
		return *v.Text
	case v.Word != nil:
		return wordValue(*v.Word)
	}
	values := make([]any, 0, len(v.Values))
	for _, item := range v.Values {
		values = append(values, item.value())
	}
	return values
}

func wordValue(word string) any {
	if word == "true" || word == "false" {
		return word == "true"
	}
	if json.Valid([]byte(word)) {
		return json.RawMessage(word)
	}
	return word
}
