package admission

// Evacuate refuses all queued requests with the reason Evacuated. Unlike Leave it lets later ones in: the
// caller submits none while the evacuation lasts. Running requests keep their slots.
func (t *Target) Evacuate() []Action {
	leaving := t.leaving
	actions := t.Leave()
	t.leaving = leaving
	for i := range actions {
		actions[i].Reason = Evacuated
	}
	return actions
}
