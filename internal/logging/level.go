package logging

import (
	"sync/atomic"

	"github.com/rs/zerolog"
)

// LevelHook discards events below a level that can be changed at runtime.
type LevelHook struct{ level atomic.Int32 }

// Set sets the level from which events are kept.
func (h *LevelHook) Set(level zerolog.Level) { h.level.Store(int32(level)) }

// Level returns the current level.
func (h *LevelHook) Level() zerolog.Level { return zerolog.Level(h.level.Load()) }

// Run implements zerolog.Hook.
func (h *LevelHook) Run(e *zerolog.Event, level zerolog.Level, _ string) {
	if int32(level) < h.level.Load() {
		e.Discard()
	}
}
