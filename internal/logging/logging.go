// Package logging formats log events as lines of key=value pairs.
package logging

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
)

// EventField is the field with the event's name, written after time and level.
const EventField = "event"

// New returns a logger that writes events of at least the given level to out.
func New(out io.Writer, level zerolog.Level) zerolog.Logger {
	writer := zerolog.ConsoleWriter{
		Out:             out,
		NoColor:         true,
		PartsOrder:      []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, EventField, zerolog.MessageFieldName},
		FieldsExclude:   []string{EventField},
		FormatTimestamp: func(v any) string { return fmt.Sprintf("time=%v", v) },
		FormatLevel:     func(v any) string { return fmt.Sprintf("level=%v", v) },
		FormatPartValueByName: func(v any, name string) string {
			return fmt.Sprintf("%s=%v", name, v)
		},
		FormatMessage: formatMessage,
	}
	return zerolog.New(writer).Level(level).Hook(timeHook{})
}

// timeHook adds the time of an event, in UTC with milliseconds.
type timeHook struct{}

// timeFormat is RFC 3339 with a fixed number of digits.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Run implements zerolog.Hook.
func (timeHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str(zerolog.TimestampFieldName, time.Now().UTC().Format(timeFormat))
}

func formatMessage(v any) string {
	if v == nil || v == "" {
		return ""
	}
	return fmt.Sprintf("msg=%q", v)
}
