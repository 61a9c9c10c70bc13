package burn

import (
	"time"

	"sassafrasnotch.example/coord/revision"
)

// SpanCount counts the calls of a span that ended when the count was taken.
type SpanCount struct {
	Span revision.Duration `json:"span"`
	Count
}

// Spans are counts that travel from one host to another. They are a Source of
// exactly the spans that they hold.
type Spans []SpanCount

// NewSpans returns the counts that Evaluate asks for under an objective.
func NewSpans(objective revision.Objective, source Source) Spans {
	var taken Spans
	for _, span := range spans(objective) {
		taken = append(taken, SpanCount{Span: revision.Duration(span), Count: source.Over(span)})
	}
	return taken
}

// Over implements Source.
func (s Spans) Over(span time.Duration) Count {
	for _, c := range s {
		if c.Span.Std() == span {
			return c.Count
		}
	}
	return Count{}
}

// Merge adds the counts of another host. Spans that only one of them holds, as
// when an objective has just changed, are kept.
func (s Spans) Merge(other Spans) Spans {
	merged := append(Spans(nil), s...)
	for _, c := range other {
		merged = merged.add(c)
	}
	return merged
}

func (s Spans) add(c SpanCount) Spans {
	for i := range s {
		if s[i].Span == c.Span {
			s[i].Count = s[i].Count.Add(c.Count)
			return s
		}
	}
	return append(s, c)
}
