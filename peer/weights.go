package peer

// GetManifest asks an entry for the digests of a version's pieces; the reply
// is a Manifest.
type GetManifest struct {
	Model   string
	Version int
	Hops    int // how often the request was passed on
	// LocalOnly asks only for what the entry holds itself.
	LocalOnly bool
}

// Kind implements Message.
func (*GetManifest) Kind() Kind { return kindGetManifest }

// Manifest lists the SHA-256 digests of a version's pieces; none if it could
// not be had.
type Manifest struct{ Digests [][]byte }

// Kind implements Message.
func (*Manifest) Kind() Kind { return kindManifest }

// GetPiece asks an entry for one piece of a version's weights; the reply is a
// Blob.
type GetPiece struct {
	Model   string
	Version int
	Index   int
	Hops    int // how often the request was passed on
	// LocalOnly asks only for what the entry holds itself.
	LocalOnly bool
}

// Kind implements Message.
func (*GetPiece) Kind() Kind { return kindGetPiece }
