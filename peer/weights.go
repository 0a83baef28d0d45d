package peer

// GetManifest asks an entry for the digests of a model version's pieces, the parts in which its
// weights are transferred. The reply is a Manifest.
type GetManifest struct {
	Model   string
	Version int
	Hops    int // number of times that the request was forwarded
	// LocalOnly asks only for content that the entry stores itself.
	LocalOnly bool
}

// Kind implements Message.
func (*GetManifest) Kind() Kind { return kindGetManifest }

// Manifest lists the SHA-256 digests of a version's pieces. It is empty if the entry
// could not retrieve the digests.
type Manifest struct{ Digests [][]byte }

// Kind implements Message.
func (*Manifest) Kind() Kind { return kindManifest }

// GetPiece asks an entry for one piece of a version's weights. The reply is a Blob.
type GetPiece struct {
	Model   string
	Version int
	Index   int
	Hops    int // number of times that the request was forwarded
	// LocalOnly asks only for content that the entry stores itself.
	LocalOnly bool
}

// Kind implements Message.
func (*GetPiece) Kind() Kind { return kindGetPiece }
