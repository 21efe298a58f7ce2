import type { ServiceName } from "@ibislanding/core";
import type { RequestHead } from "../codec/requestHead";
import type { ClientAccount } from "../configuration/clientAccount";
import type { CompiledConfiguration } from "../configuration/compiledConfiguration";
import type { Route } from "../configuration/route";

/** A request with its route and account; it uses the same configuration until its end. */
export interface IdentifiedRequest {
    readonly head: RequestHead;
    readonly configuration: CompiledConfiguration;
    readonly route: Route;
    readonly account: ClientAccount | undefined;
    readonly service: ServiceName;
    /** Units charged to the account. */
    readonly units: number;
    /** Monotonic time of the request's deadline. */
    readonly dueAtMs: number;
}
