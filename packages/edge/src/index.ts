export type { EdgeHost } from "./edgeHost";
export type { EdgeOptions } from "./edgeOptions";
export type { EdgeSettings } from "./edgeSettings";
export { limitConnections } from "./limitConnections";
export type { RolloutStatus } from "./rollouts/rolloutStatus";
export type { StatedRolloutOrder } from "./rollouts/statedRolloutOrder";
export { startEdgeHost } from "./startEdgeHost";
