import type { LevelState, Returns } from "@ibislanding/admission";
import type { Clock, RandomSource } from "@ibislanding/core";
import type { Quarantine } from "@ibislanding/quarantine";
import type { HeaderCodec } from "../codec/headerCodec";
import type { CompiledConfiguration } from "../configuration/compiledConfiguration";
import type { EnginePort } from "../engines/enginePort";
import type { AccountMeter } from "../limits/accountMeter";
import type { RetryBudget } from "../limits/retryBudget";
import type { StreamOrigins } from "../streams/streamOrigins";
import type { StreamRelief } from "../streams/streamRelief";
import type { CrashDetector } from "../upstreams/crashDetector";
import type { UpstreamTable } from "../upstreams/upstreamTable";
import type { VersionPolicy } from "../versions/versionPolicy";
import type { GatewayEvents } from "./gatewayEvents";
import type { RecentAnswers } from "./recentAnswers";
import type { RequestRelay } from "./requestRelay";

/** Dependencies and settings of a gateway. */
export interface GatewayOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly codec: HeaderCodec;
    /** The configuration in force; undefined until one has been received. */
    readonly configuration: () => CompiledConfiguration | undefined;
    /** Whether configuration and upstreams have been received, which takes a moment after the start of the process. */
    readonly isInitialized: () => boolean;
    readonly upstreams: UpstreamTable;
    readonly accounts: AccountMeter;
    readonly retryBudget: RetryBudget;
    readonly quarantine: Quarantine;
    readonly crashes: CrashDetector;
    readonly recentAnswers: RecentAnswers;
    readonly streamOrigins: StreamOrigins;
    readonly streamRelief: StreamRelief;
    /** Set if versions are rolled out. */
    readonly versions: VersionPolicy | undefined;
    /** The clock that the hosts share. */
    readonly sharedNowMs: () => number;
    /** Set if engines can move running requests. */
    readonly engines: EnginePort | undefined;
    /** Set if peers take this host's requests while it reaches no upstream. */
    readonly relay?: RequestRelay | undefined;
    /** Set if requests of saturated services are admitted by a level over all hosts. */
    readonly admission?: LevelState | undefined;
    /** Set if the return of refused requests of saturated services is planned. */
    readonly returns?: Returns | undefined;
    /** Memory that the bodies of all requests and answers may hold. */
    readonly maximumBodyMemoryBytes: number;
    readonly events: GatewayEvents;
    /** Time after the start of the shutdown for which new requests are still forwarded. */
    readonly stopAcceptMs: number;
    /** Time after the start of the shutdown within which requests must end. */
    readonly stopGraceMs: number;
}
