import type { RequestFeatures } from "../codec/requestFeatures";
import type { AdmittedRequest } from "./admittedRequest";
import { filterHeaders } from "./filterHeaders";
import type { ForwardContext } from "./forwardContext";
import type { RequestProgress } from "./requestProgress";
import type { ServeOptions } from "./serveOptions";

/** Headers that are removed or set anew because the body has been buffered completely. */
const BODY_HEADERS = ["content-length", "expect"];

/** Creates the context of a request before its first attempt. */
export const createForwardContext = (
    options: ServeOptions,
    admitted: AdmittedRequest,
    body: Buffer,
    ended: AbortSignal,
    progress: RequestProgress,
    features: RequestFeatures,
): ForwardContext => {
    const { route, service, configuration } = admitted;
    const excludedHeaders = new Set([...options.codec.reservedRequestHeaders, ...BODY_HEADERS]);
    return {
        options,
        admitted,
        body,
        ended,
        progress,
        features,
        lostRuns: 0,
        softwareVersion: admitted.softwareVersion,
        versionRule: undefined,
        forwardedHeaders: filterHeaders(options.request.rawHeaders, excludedHeaders),
        engine: configuration.servicesByName.get(service)?.engine,
        mayRepeat: route.kind === "repeatable" || route.isResumable,
        excluded: new Set(),
        runs: 0,
        isStartReported: false,
        isSendRecorded: false,
        isAdmittedByLevel: undefined,
        isServedRecorded: false,
        isRelieved: false,
        lastEventId: options.relayed?.lastEventId,
    };
};
