import { createFailure, ErrorCode } from "@ibislanding/core";
import { type FeatureId, parseFeatureId, type Quarantine, type QuarantinedFeature } from "@ibislanding/quarantine";
import { type HttpHandler, sendJson, sendProblem } from "@ibislanding/runtime";
import type { IncomingMessage, ServerResponse } from "node:http";

type MethodHandler = (response: ServerResponse, featureId: FeatureId | undefined) => void;

/** Returns what comes after `/quarantine/` in the path; undefined for the list, an empty text if it can't be decoded. */
const readFeatureId = ({ url = "" }: IncomingMessage): FeatureId | undefined => {
    const [, , encoded] = url.split("?")[0]?.split("/") ?? [];
    if (encoded === undefined || encoded === "") {
        return undefined;
    }
    try {
        return decodeURIComponent(encoded) as FeatureId;
    }
    catch {
        return "" as FeatureId;
    }
};

const describe = (quarantine: Quarantine, feature: QuarantinedFeature) => {
    const { featureId, sinceMs, refusedAtMs, firstCrashAtMs, crashes, isConfirmed } = feature;
    return {
        featureId,
        ...parseFeatureId(featureId),
        sinceMs,
        refusedAtMs: refusedAtMs > 0 ? refusedAtMs : undefined,
        firstCrashAtMs,
        crashes,
        isConfirmed,
        remainingMs: quarantine.remainingMs(feature),
        upstreamIds: [...new Set(quarantine.suspectsOf(featureId).map(({ upstreamId }) => upstreamId))],
    };
};

/** Creates the handler of `GET /quarantine`, which lists what is quarantined, and `DELETE /quarantine/ID`, which ends it. */
export const createQuarantineHandler = (quarantine: Quarantine): HttpHandler => {
    const handlers: Readonly<Record<string, MethodHandler>> = {
        GET: (response, featureId) => {
            const features = quarantine.features().filter(known => [undefined, known.featureId].includes(featureId));
            sendJson(response, 200, { quarantined: features.map(feature => describe(quarantine, feature)) });
        },
        DELETE: (response, featureId) => {
            if (featureId === undefined || !quarantine.release(featureId)) {
                const message = `"${featureId ?? ""}" is not quarantined at this host.`;
                sendProblem(response, createFailure(ErrorCode.UnknownResource, { message }));
                return;
            }
            sendJson(response, 200, { featureId });
        },
    };

    return async (request, response) => {
        request.resume();
        const handler = handlers[request.method ?? ""];
        if (handler === undefined) {
            sendProblem(response, createFailure(ErrorCode.UnknownRoute));
            return;
        }
        handler(response, readFeatureId(request));
    };
};
