package core

import (
	"fmt"
	"strconv"
	"time"

	"github.com/spoolbank/spoolbank/query"
)

// Table is the result of a query.
type Table struct {
	Columns []string   `cbor:"columns" json:"columns"`
	Rows    [][]string `cbor:"rows" json:"rows"`
}

// add appends a row, with the values in the order of the columns.
func (t *Table) add(values ...any) {
	row := make([]string, len(values))
	for i, v := range values {
		row[i] = cell(v)
	}
	t.Rows = append(t.Rows, row)
}

func cell(v any) string {
	switch v := v.(type) {
	case string:
		return v
	case time.Time:
		if v.IsZero() {
			return "-"
		}
		return v.UTC().Format(time.RFC3339)
	case float64:
		return strconv.FormatFloat(v, 'g', 6, 64)
	default:
		return fmt.Sprint(v)
	}
}

// filter returns the rows that match all conditions. It fails when a condition names
// an unknown column.
func (t Table) filter(conditions []query.Condition) (Table, error) {
	kept := Table{Columns: t.Columns}
	for _, row := range t.Rows {
		matches := true
		for _, c := range conditions {
			ok, err := t.matches(row, c)
			if err != nil {
				return Table{}, err
			}
			matches = matches && ok
		}
		if matches {
			kept.Rows = append(kept.Rows, row)
		}
	}
	if len(t.Rows) == 0 {
		for _, c := range conditions {
			if _, err := t.matches(make([]string, len(t.Columns)), c); err != nil {
				return Table{}, err
			}
		}
	}
	return kept, nil
}

func (t Table) matches(row []string, c query.Condition) (bool, error) {
	for i, column := range t.Columns {
		if column == c.Field {
			return c.Meets(row[i]), nil
		}
	}
	return false, fmt.Errorf("column %d: there is no field %q here; use one of %v", c.Column, c.Field, t.Columns)
}
