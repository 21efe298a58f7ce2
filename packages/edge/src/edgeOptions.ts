import type { Clock, Failure, RandomSource, ServiceName } from "@ibislanding/core";
import type { DutyApi } from "@ibislanding/duties";
import type { EnginePort, GatewayConfiguration, HeaderCodec, UpstreamRecord } from "@ibislanding/gateway";
import type { KeyValueHistory, KeyValueStore, StoreEpoch } from "@ibislanding/platform";
import type { EventLog, MetricsRegistry } from "@ibislanding/runtime";
import type { Result } from "ts-results";
import type { EdgeSettings } from "./edgeSettings";
import type { RolloutStatus } from "./rollouts/rolloutStatus";
import type { StatedRolloutOrder } from "./rollouts/statedRolloutOrder";

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
        /** Keys and encodings of rollouts; used only if the settings enable them. */
        readonly rollouts: {
            /** Prefix of the orders of all services. */
            readonly ordersPrefix: string;
            readonly decodeOrder: (key: string, value: string) => Result<StatedRolloutOrder, Failure>;
            readonly statusKeyOf: (service: ServiceName) => string;
            readonly encodeStatus: (status: RolloutStatus) => string;
        };
        /** Prefix of this system's own keys. */
        readonly ownPrefix: string;
    };
}
