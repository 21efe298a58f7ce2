// Fits
export type { Fit } from "./fit";
export { fitLine } from "./fitLine";

// Measurements
export type { Measurement } from "./measurement";
export { measureSize } from "./measureSize";
