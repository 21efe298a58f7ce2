import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { StreamBinding } from "./streamBinding";
import type { StreamPosition } from "./streamPosition";

/** Converts stream positions to signed event ids and back. */
export interface EventIdCodec {
    readonly encode: (position: StreamPosition, binding: StreamBinding) => string;
    /** Fails with `unknown_event` when the id is malformed or belongs to another account or request. */
    readonly decode: (text: string, binding: StreamBinding) => Result<StreamPosition, Failure>;
}
