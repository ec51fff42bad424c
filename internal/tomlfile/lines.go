package tomlfile

import (
	"strconv"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLines returns the line of each key and table of a valid TOML text, by its path.
func keyLines(text []byte) map[string]int {
	lines := map[string]int{}
	tables := map[string]int{} // number of tables so far in each array of tables
	table := ""                // path of the table that contains the current key
	parser := unstable.Parser{}
	parser.Reset(text)
	for parser.NextExpression() {
		expression := parser.Expression()
		path, line := keyOf(&parser, expression, tables)
		switch expression.Kind {
		case unstable.Table:
			table = path
		case unstable.ArrayTable:
			table = join(path, strconv.Itoa(tables[path]))
			tables[path]++
			path = table
		default:
			path = join(table, path)
			if expression.Kind != unstable.KeyValue {
				path = table
			}
		}
		if lines[path] == 0 {
			lines[path] = line
		}
	}
	return lines
}

// keyOf returns the path and the line of an expression's key. A table inside an array of tables belongs to the last
// table of the array: with two teams, team.type is team.1.type.
func keyOf(parser *unstable.Parser, expression *unstable.Node, tables map[string]int) (path string, line int) {
	for keys := expression.Key(); keys.Next(); {
		if line == 0 {
			line = parser.Shape(keys.Node().Raw).Start.Line
		}
		if n := tables[path]; n > 0 {
			path = join(path, strconv.Itoa(n-1))
		}
		path = join(path, string(keys.Node().Data))
	}
	return path, line
}

func join(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}
