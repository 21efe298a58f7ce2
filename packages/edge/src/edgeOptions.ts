import type { Clock, Failure, RandomSource } from "@ibislanding/core";
import type { DutyApi } from "@ibislanding/duties";
import type { EnginePort, GatewayConfiguration, HeaderCodec, UpstreamRecord } from "@ibislanding/gateway";
import type { KeyValueHistory, KeyValueStore, StoreEpoch } from "@ibislanding/platform";
import type { EventLog, MetricsRegistry } from "@ibislanding/runtime";
import type { Result } from "ts-results";
import type { EdgeSettings } from "./edgeSettings";

/** Settings of a host and the ports and decoders of the platform on which it runs. */
export interface EdgeOptions {
    readonly settings: EdgeSettings;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly log: EventLog;
    readonly metrics: MetricsRegistry;
    readonly store: KeyValueStore;
    readonly history: KeyValueHistory;
    readonly storeEpoch: StoreEpoch;
    readonly duties: DutyApi;
    readonly engines: EnginePort | undefined;
    readonly codec: HeaderCodec;
    readonly documents: {
        /** Prefix whose only document is the configuration. */
        readonly configurationPrefix: string;
        readonly decodeConfiguration: (value: string) => Result<GatewayConfiguration, Failure>;
        readonly upstreamsPrefix: string;
        readonly decodeUpstream: (key: string, value: string) => Result<UpstreamRecord, Failure>;
        /** Prefix of this system's own keys. */
        readonly ownPrefix: string;
    };
}
