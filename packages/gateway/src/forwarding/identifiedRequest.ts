import type { ServiceName } from "@ibislanding/core";
import type { RequestHead } from "../codec/requestHead";
import type { ClientAccount } from "../configuration/clientAccount";
import type { CompiledConfiguration } from "../configuration/compiledConfiguration";
import type { Route } from "../configuration/route";

/** A request whose route and account are known; it keeps its configuration to the end. */
export interface IdentifiedRequest {
    readonly head: RequestHead;
    readonly configuration: CompiledConfiguration;
    readonly route: Route;
    readonly account: ClientAccount | undefined;
    readonly service: ServiceName;
    /** Units that it takes from the account. */
    readonly units: number;
    /** Monotonic time by which the caller gets the final answer. */
    readonly dueAtMs: number;
}
