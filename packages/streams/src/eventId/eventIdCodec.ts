import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { StreamBinding } from "./streamBinding";
import type { StreamPosition } from "./streamPosition";

/** Encodes stream positions as signed event ids and decodes them. */
export interface EventIdCodec {
    readonly encode: (position: StreamPosition, binding: StreamBinding) => string;
    /** Fails with `unknown_event` if the id is malformed, altered, or issued for another client account or body. */
    readonly decode: (text: string, binding: StreamBinding) => Result<StreamPosition, Failure>;
}
