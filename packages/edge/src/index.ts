export type { EdgeHost } from "./edgeHost";
export type { EdgeOptions } from "./edgeOptions";
export type { EdgeSettings } from "./edgeSettings";
export { startEdgeHost } from "./startEdgeHost";
