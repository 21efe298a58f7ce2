import type { AccountId, BodyDelimiter, RequestId, ServiceName, SoftwareVersion, UpstreamId } from "@ibislanding/core";
import type { FeatureId } from "@ibislanding/quarantine";

/** Callbacks for logging, metrics and metering of requests. */
export interface GatewayEvents {
    /** An upstream has started to process a request of an account. */
    readonly onProcessingStarted: (accountId: AccountId | undefined) => void;
    readonly onAttemptEnded: (attempt: {
        readonly requestId: RequestId | undefined;
        readonly upstreamId: UpstreamId;
        readonly softwareVersion: SoftwareVersion;
        readonly attempt: number;
        readonly outcome: string;
        readonly reason: string;
        readonly status: number;
        readonly predictedMs: number;
        readonly durationMs: number;
        readonly sendsLeftMs: number;
        /** Prompt parts that other requests may share. */
        readonly sharedPartIds: readonly string[];
        /** Time from the send to the head of the response; undefined if none was received. */
        readonly headMs: number | undefined;
        /** The request itself, over all attempts and on all hosts; set if the run was lost. */
        readonly requestFeature: FeatureId | undefined;
    }) => void;
    /** A run was moved away from a leaving upstream, or to an engine at which it ends in time, or the move failed. */
    readonly onRunMoved: (move: {
        readonly requestId: RequestId;
        readonly upstreamId: UpstreamId;
        readonly target: UpstreamId;
        readonly cause: "departure" | "time";
        readonly outcome: string;
    }) => void;
    /** A stream was given up because its engine had fallen silent; it goes on at another one. */
    readonly onStreamSilent?:
        | ((stream: {
            readonly requestId: RequestId | undefined;
            readonly upstreamId: UpstreamId;
            readonly attempt: number;
            readonly silentMs: number;
            readonly longestGapMs: number;
        }) => void)
        | undefined;
    /** An upstream stated in a response that it is leaving. */
    readonly onUpstreamLeaving: (notice: {
        readonly upstreamId: UpstreamId;
        readonly startedAtMs: number;
        readonly status: number;
    }) => void;
    /** An upstream turned a request away and asked for a pause. */
    readonly onUpstreamPaused: (pause: { readonly upstreamId: UpstreamId; readonly pauseMs: number; }) => void;
    /** An upstream stated a new limit in requests a second, or none any more. */
    readonly onUpstreamLimited: (limit: {
        readonly upstreamId: UpstreamId;
        readonly startedAtMs: number;
        readonly limitPerS: number | undefined;
    }) => void;
    /** An upstream stated a new number of rejections a second above which it crashes, or none any more. */
    readonly onUpstreamBrittle: (statement: {
        readonly upstreamId: UpstreamId;
        readonly startedAtMs: number;
        readonly rejectionsPerS: number | undefined;
    }) => void;
    /** A brittle upstream rejected a request for want of room. */
    readonly onBrittleRejection: (
        rejection: { readonly upstreamId: UpstreamId; readonly startedAtMs: number; },
    ) => void;
    /** A response had headers with invalid values. */
    readonly onInvalidHeaders: (response: {
        readonly upstreamId: UpstreamId;
        readonly headers: readonly string[];
    }) => void;
    /** Something threw while a request was served; it costs this request its answer, and nothing else. */
    readonly onRequestError: (failure: { readonly requestId: RequestId | undefined; readonly error: unknown; }) => void;
    readonly onRequestEnded: (request: {
        readonly requestId: RequestId | undefined;
        /** As the client states them; undefined for plain requests. */
        readonly promptTokens: number | undefined;
        readonly maximumOutputTokens: number | undefined;
        /** Events of a stream that all attempts have brought. */
        readonly events: number;
        readonly route: string | undefined;
        readonly service: ServiceName | undefined;
        readonly accountId: AccountId | undefined;
        readonly configurationVersion: number | undefined;
        readonly outcome: string;
        readonly reason: string;
        readonly status: number;
        readonly attempts: number;
        /** The body of the last response that was relayed: what marks its end, and how much of it was received. */
        readonly bodyDelimiter: BodyDelimiter | undefined;
        readonly bodyBytes: number | undefined;
        /** Whether the last received bytes belong to an incomplete event of a stream. */
        readonly endsInsideEvent: boolean | undefined;
        readonly firstByteMs: number | undefined;
        readonly durationMs: number;
        readonly objectiveMs: number | undefined;
        /** The last selected upstream and the inputs of that decision. */
        readonly upstreamId: UpstreamId | undefined;
        readonly softwareVersion: SoftwareVersion | undefined;
        /** The client's attempt that brought the first event of the stream that it took up. */
        readonly resumedRequestId: RequestId | undefined;
        readonly predictedMs: number | undefined;
        readonly backlogMs: number | undefined;
        readonly promptMs: number | undefined;
        readonly runningAtUpstream: number | undefined;
        /** Factor by which recent gaps of streams lengthened the prediction. */
        readonly delayFactor: number | undefined;
        /** Quarantined feature for which the request was refused. */
        readonly quarantinedFeature: FeatureId | undefined;
        /** Address of the host that relayed the request to this one. */
        readonly relayedBy: string | undefined;
    }) => void;
}
