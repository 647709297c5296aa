package relay

// MemoryOf returns the tokens times layers that an engine has memory for.
func MemoryOf(e *Engine, t Target) int {
	kind, _ := e.accelerator(t.Accelerator)
	return e.tokenLayers(kind, t.Layers.Len())
}
