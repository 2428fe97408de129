package document

import "strings"

// diffContext is the number of unchanged lines shown around a change.
const diffContext = 2

// Diff returns the lines that differ between two texts. Removed lines have the
// prefix "- ", added lines "+ " and a few unchanged context lines "  ". It is
// empty if the texts are equal.
func Diff(before, after string) string {
	if before == after {
		return ""
	}
	return formatEdits(editScript(splitLines(before), splitLines(after)))
}

func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}

// edit is one line of an edit script; op is ' ', '-' or '+'.
type edit struct {
	op   byte
	line string
}

// editScript aligns the lines by their longest common subsequence, after
// stripping the common prefix and suffix.
func editScript(a, b []string) []edit {
	var head, tail []edit
	for len(a) > 0 && len(b) > 0 && a[0] == b[0] {
		head = append(head, edit{' ', a[0]})
		a, b = a[1:], b[1:]
	}
	for len(a) > 0 && len(b) > 0 && a[len(a)-1] == b[len(b)-1] {
		tail = append(tail, edit{' ', a[len(a)-1]})
		a, b = a[:len(a)-1], b[:len(b)-1]
	}
	script := append(head, alignLines(a, b)...)
	for i := len(tail) - 1; i >= 0; i-- {
		script = append(script, tail[i])
	}
	return script
}

// maxAlignedPairs bounds the size of the alignment table, the product of both
// line counts. Larger changes are shown as a removal of all old lines and an
// addition of all new ones.
const maxAlignedPairs = 16_000_000

func alignLines(a, b []string) []edit {
	var script []edit
	i, j := 0, 0
	if len(a)*len(b) <= maxAlignedPairs {
		common := commonLengths(a, b)
		for i < len(a) && j < len(b) {
			switch {
			case a[i] == b[j]:
				script = append(script, edit{' ', a[i]})
				i, j = i+1, j+1
			case common[i+1][j] >= common[i][j+1]:
				script = append(script, edit{'-', a[i]})
				i++
			default:
				script = append(script, edit{'+', b[j]})
				j++
			}
		}
	}
	for ; i < len(a); i++ {
		script = append(script, edit{'-', a[i]})
	}
	for ; j < len(b); j++ {
		script = append(script, edit{'+', b[j]})
	}
	return script
}

// commonLengths returns, for each pair of positions, the length of the longest
// common subsequence of the remaining lines.
func commonLengths(a, b []string) [][]int32 {
	common := make([][]int32, len(a)+1)
	for i := range common {
		common[i] = make([]int32, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				common[i][j] = common[i+1][j+1] + 1
			} else {
				common[i][j] = max(common[i+1][j], common[i][j+1])
			}
		}
	}
	return common
}

func formatEdits(script []edit) string {
	shown := make([]bool, len(script))
	for i, e := range script {
		if e.op == ' ' {
			continue
		}
		for k := max(0, i-diffContext); k <= min(len(script)-1, i+diffContext); k++ {
			shown[k] = true
		}
	}
	var b strings.Builder
	for i, e := range script {
		if !shown[i] {
			if i > 0 && shown[i-1] {
				b.WriteString("  ...\n")
			}
			continue
		}
		b.WriteByte(e.op)
		b.WriteByte(' ')
		b.WriteString(e.line)
		b.WriteByte('\n')
	}
	return b.String()
}
