package capacity

// The target size of the deployment, set by the users.
const (
	TargetDaemons        = 670
	TargetRunners        = 12_000
	TargetModels         = 17
	TargetDataCentres    = 7
	TargetTeams          = 27_000
	TargetPrompts        = 160_000
	TargetRequestsPerSec = 92_000
	TargetChangesPerDay  = 13_000
	TargetControlHosts   = 54
	TargetRestartsPerDay = 1_300
	TargetFailuresPerDay = 120
)

// Limits on the cost of control for one daemon.
const (
	LimitCoreShare      = 0.013
	LimitBytes          = 32 << 20
	LimitBytesPerSecond = 13_000
)

// Derived sizes.
const (
	// TargetCells is the number of cells if every model runs in every data
	// centre; each cell then has about a hundred runners.
	TargetCells = TargetModels * TargetDataCentres
	// RunnersPerCell is the number of runners in one cell.
	RunnersPerCell = TargetRunners / TargetCells
	// OwnersPerCell is the number of entry daemons that follow one cell.
	OwnersPerCell = 3
	// PromptsPerDaemon is the number of prompts whose home is one daemon.
	PromptsPerDaemon = TargetPrompts / TargetDaemons
	secondsPerDay    = 86_400
)

// CellsPerDaemon is the average number of cells that one daemon owns.
const CellsPerDaemon = float64(TargetCells*OwnersPerCell) / TargetDaemons
