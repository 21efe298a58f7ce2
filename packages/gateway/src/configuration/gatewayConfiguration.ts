import type { ClientAccount } from "./clientAccount";
import type { ClientLimits } from "./clientLimits";
import type { Route } from "./route";
import type { ServiceSpec } from "./serviceSpec";

/** One version of the configuration declared by the operators. */
export interface GatewayConfiguration {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly ServiceSpec[];
    readonly accounts: readonly ClientAccount[];
    readonly limits: ClientLimits;
}
