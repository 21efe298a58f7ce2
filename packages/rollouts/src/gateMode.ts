/**
 * How a gate assigns new requests.
 *
 * - `share`: a share goes to the target
 * - `promoted`: all go to the target as far as it has place
 * - `excluding`: all versions but the excluded ones are open
 */
export type GateMode = "share" | "promoted" | "excluding";
