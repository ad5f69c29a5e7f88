package controller

// maxChanges bounds the changes that are kept for the other controllers. The
// oldest are dropped first, so that a controller that was cut off may miss some.
const maxChanges = 1024

// changeLog holds the last changes made by this controller, which are sent to the
// others. The last one has the number seq.
type changeLog[T any] struct {
	made []T
	seq  uint64
}

func (l *changeLog[T]) add(x T) {
	l.made = append(l.made, x)
	l.seq++
	if len(l.made) > maxChanges {
		l.made = l.made[len(l.made)-maxChanges:]
	}
}

// since returns the changes after a number.
func (l *changeLog[T]) since(seq uint64) []T {
	first := l.seq - uint64(len(l.made))
	return l.made[max(min(seq, l.seq), first)-first:]
}
