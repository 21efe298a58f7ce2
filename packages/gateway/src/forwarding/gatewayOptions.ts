import type { Clock, RandomSource } from "@ibislanding/core";
import type { HeaderCodec } from "../codec/headerCodec";
import type { CompiledConfiguration } from "../configuration/compiledConfiguration";
import type { EnginePort } from "../engines/enginePort";
import type { AccountMeter } from "../limits/accountMeter";
import type { RetryBudget } from "../limits/retryBudget";
import type { UpstreamTable } from "../upstreams/upstreamTable";
import type { GatewayEvents } from "./gatewayEvents";

/** What a gateway is made of. */
export interface GatewayOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly codec: HeaderCodec;
    /** The configuration in force; undefined until one is known. */
    readonly configuration: () => CompiledConfiguration | undefined;
    /** Whether configuration and upstreams are known; a process that has just started learns them in a moment. */
    readonly isInitialized: () => boolean;
    readonly upstreams: UpstreamTable;
    readonly accounts: AccountMeter;
    readonly retryBudget: RetryBudget;
    /** Set when engines can move running requests. */
    readonly engines: EnginePort | undefined;
    readonly events: GatewayEvents;
    /** Time after the start of a stop within which new requests are still forwarded. */
    readonly stopAcceptMs: number;
}
