package settings

import (
	"fmt"
	"strings"
)

// sampleWidth is the maximum line length of comments in the sample, in bytes.
const sampleWidth = 78

// Sample returns a commented settings file that lists each key. Keys that PlatformLog
// does not require are commented out, with their default if they have one.
func Sample() string {
	var out strings.Builder
	section := ""
	for _, f := range fields {
		if f.section != section {
			section = f.section
			fmt.Fprintf(&out, "\n[%s]\n", section)
		}
		out.WriteString(wrapComment(f.help))
		out.WriteString(f.sampleLine())
		if f.secret {
			fmt.Fprintf(&out, "; or in a file of its own:\n;%s%s = /etc/bergamotreel/%s\n", f.key, fileSuffix, f.key)
		}
	}
	return strings.TrimPrefix(out.String(), "\n")
}

func (f field) sampleLine() string {
	switch {
	case f.isRequiredOn(PlatformLog):
		return fmt.Sprintf("%s = %s\n", f.key, f.example)
	case f.defaultValue != "":
		return fmt.Sprintf(";%s = %s\n", f.key, f.defaultValue)
	}
	return fmt.Sprintf(";%s =\n", f.key)
}

func wrapComment(text string) string {
	var out strings.Builder
	line := ";"
	for word := range strings.FieldsSeq(text) {
		if len(line)+1+len(word) > sampleWidth {
			out.WriteString(line + "\n")
			line = ";"
		}
		line += " " + word
	}
	out.WriteString(line + "\n")
	return out.String()
}
