package peer

// Kind identifies the type of a message on the wire.
type Kind uint8

// Message is one typed message of the protocol between processes.
type Message interface {
	// Kind returns the wire identifier of the message type.
	Kind() Kind
}

// Message kinds. Values are part of the protocol and never reused.
const (
	kindHello Kind = iota + 1
	kindCredit
	kindReset
	kindDispatch
	kindBody
	kindHead
	kindData
	kindEnd
	kindRefuse
	kindFence
	kindFenceReply
	kindResume
	kindWatch
	kindStatus
	kindHeartbeat
	kindGetHead
	kindGetPart
	kindBlob
	kindGetHosts
	kindHave
	kindGetChunk
	kindKeyFence
	kindKeyFenceReply
	kindPermit
	kindPermitReply
	kindGetNodeStatus
	kindNodeStatus
	kindGetHistory
	kindHistory
	kindMirrorRead
	kindMirrorBatch
	kindPresence
	kindPresences
	kindLoads
	kindEngineState
	kindGetManifest
	kindGetPiece
	kindAssignment
	kindManifest
	kindReserve
	kindReserveReply
	kindEngineStates
	kindCrashes
	kindGossip
	kindGossipDigest
	kindPlace
	kindPlaceReply

	kindCount // one more than the last kind
)

// newMessage returns an empty message of the given kind, or nil if the kind has no
// message type.
func newMessage(k Kind) Message {
	switch k {
	case kindHello:
		return &Hello{}
	case kindDispatch:
		return &Dispatch{}
	case kindBody:
		return &Body{}
	case kindHead:
		return &Head{}
	case kindData:
		return &Data{}
	case kindEnd:
		return &End{}
	case kindRefuse:
		return &Refuse{}
	case kindFence:
		return &Fence{}
	case kindFenceReply:
		return &FenceReply{}
	case kindResume:
		return &Resume{}
	case kindWatch:
		return &Watch{}
	case kindStatus:
		return &Status{}
	case kindHeartbeat:
		return &Heartbeat{}
	case kindGetHead:
		return &GetHead{}
	case kindGetPart:
		return &GetPart{}
	case kindBlob:
		return &Blob{}
	case kindGetHosts:
		return &GetHosts{}
	case kindHave:
		return &Have{}
	case kindGetChunk:
		return &GetChunk{}
	case kindKeyFence:
		return &KeyFence{}
	case kindKeyFenceReply:
		return &KeyFenceReply{}
	case kindPermit:
		return &Permit{}
	case kindPermitReply:
		return &PermitReply{}
	case kindGetNodeStatus:
		return &GetNodeStatus{}
	case kindNodeStatus:
		return &NodeStatus{}
	case kindGetHistory:
		return &GetHistory{}
	case kindHistory:
		return &History{}
	case kindMirrorRead:
		return &MirrorRead{}
	case kindMirrorBatch:
		return &MirrorBatch{}
	case kindPresence:
		return &Presence{}
	case kindPresences:
		return &Presences{}
	case kindLoads:
		return &Loads{}
	case kindEngineState:
		return &EngineState{}
	case kindGetManifest:
		return &GetManifest{}
	case kindGetPiece:
		return &GetPiece{}
	case kindAssignment:
		return &Assignment{}
	case kindManifest:
		return &Manifest{}
	case kindReserve:
		return &Reserve{}
	case kindReserveReply:
		return &ReserveReply{}
	case kindEngineStates:
		return &EngineStates{}
	case kindCrashes:
		return &Crashes{}
	case kindGossip:
		return &Gossip{}
	case kindGossipDigest:
		return &GossipDigest{}
	case kindPlace:
		return &Place{}
	case kindPlaceReply:
		return &PlaceReply{}
	}
	return nil
}

// Kind implementations.
func (*GetHistory) Kind() Kind    { return kindGetHistory }
func (*History) Kind() Kind       { return kindHistory }
func (*GetNodeStatus) Kind() Kind { return kindGetNodeStatus }
func (*NodeStatus) Kind() Kind    { return kindNodeStatus }
func (*Hello) Kind() Kind         { return kindHello }
func (*Dispatch) Kind() Kind      { return kindDispatch }
func (*Body) Kind() Kind          { return kindBody }
func (*Head) Kind() Kind          { return kindHead }
func (*Data) Kind() Kind          { return kindData }
func (*End) Kind() Kind           { return kindEnd }
func (*Refuse) Kind() Kind        { return kindRefuse }
func (*Fence) Kind() Kind         { return kindFence }
func (*FenceReply) Kind() Kind    { return kindFenceReply }
func (*Resume) Kind() Kind        { return kindResume }
func (*Watch) Kind() Kind         { return kindWatch }
func (*Status) Kind() Kind        { return kindStatus }
func (*Heartbeat) Kind() Kind     { return kindHeartbeat }
func (*GetHead) Kind() Kind       { return kindGetHead }
func (*GetPart) Kind() Kind       { return kindGetPart }
func (*GetHosts) Kind() Kind      { return kindGetHosts }
func (*Blob) Kind() Kind          { return kindBlob }
func (*Have) Kind() Kind          { return kindHave }
func (*GetChunk) Kind() Kind      { return kindGetChunk }
func (*KeyFence) Kind() Kind      { return kindKeyFence }
func (*KeyFenceReply) Kind() Kind { return kindKeyFenceReply }
func (*Permit) Kind() Kind        { return kindPermit }
func (*PermitReply) Kind() Kind   { return kindPermitReply }
