package burn

import (
	"time"

	"sassafrasnotch.example/coord/revision"
)

// SpanCount counts the requests of a span that ended when the count was made.
type SpanCount struct {
	Span revision.Duration `json:"span"`
	Count
}

// Spans holds the counts that one host reports to another. It is a Source of exactly the spans
// that it contains.
type Spans []SpanCount

// NewSpans returns the counts of the spans that Evaluate queries for an objective.
func NewSpans(objective revision.Objective, source Source) Spans {
	var counted Spans
	for _, span := range evaluatedSpans(objective) {
		counted = append(counted, SpanCount{Span: revision.Duration(span), Count: source.Over(span)})
	}
	return counted
}

// Over implements Source. It returns zero counts for a span that s does not contain.
func (s Spans) Over(span time.Duration) Count {
	for _, c := range s {
		if c.Span.Std() == span {
			return c.Count
		}
	}
	return Count{}
}

// Merge returns the sum of s and the counts of another host. Spans that only one of them
// contains, as when an objective has just changed, are kept.
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
