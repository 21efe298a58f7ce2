import type { UpstreamId } from "@ibislanding/core";
import type { CloudApi } from "../cloud/cloudApi";
import type { MachineOffer } from "../cloud/machineOffer";
import type { ReclaimNotice } from "../cloud/reclaimNotice";
import { createPlatformClient } from "./createPlatformClient";

/** Creates the HTTP adapter to the cloud API at a base URL. */
export const createHttpCloudApi = (baseUrl: string): CloudApi & AsyncDisposable => {
    const client = createPlatformClient(baseUrl);
    return {
        listOffers: () => client.call<readonly MachineOffer[]>({ method: "GET" }, "/v1/offers"),
        startHost: async request => {
            const path = `/v1/hosts/${encodeURIComponent(request.operationId)}`;
            const started = await client.call<{ readonly upstreamId: UpstreamId; }>(
                { method: "PUT", body: JSON.stringify(request) },
                path,
            );
            return started.map(({ upstreamId }) => upstreamId);
        },
        stopHost: async (upstreamId, fencingNumber) => {
            const path = `/v1/hosts/${encodeURIComponent(upstreamId)}?fencingNumber=${fencingNumber}`;
            return (await client.call<unknown>({ method: "DELETE" }, path)).map(() => undefined);
        },
        reclaimNotices: (afterSequence, waitMs, signal) =>
            client.call<readonly ReclaimNotice[]>(
                { method: "GET", signal },
                `/v1/reclaim-notices?after=${afterSequence}&waitMs=${waitMs}`,
                waitMs,
            ),
        [Symbol.asyncDispose]: () => client[Symbol.asyncDispose](),
    };
};
