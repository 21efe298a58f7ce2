import type { ServiceName } from "@ibislanding/core";
import type { ClientAccount } from "./clientAccount";
import type { GatewayConfiguration } from "./gatewayConfiguration";
import type { Route } from "./route";
import type { ServiceSpec } from "./serviceSpec";

/** A configuration with its lookup tables. */
export interface CompiledConfiguration {
    readonly source: GatewayConfiguration;
    /** Routes by host, longest path prefix first. */
    readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
    readonly servicesByName: ReadonlyMap<ServiceName, ServiceSpec>;
    readonly accountsByKey: ReadonlyMap<string, ClientAccount>;
}
