import type { SystemHostRecord, UpstreamRecord } from "@ibislanding/platform";
import { answerJson } from "../server/answerJson";
import { createStandInServer } from "../server/createStandInServer";
import type { Route } from "../server/route";
import type { StandInServer } from "../server/standInServer";

/** Starts a stand-in for the host list; upstream changes become visible after a delay, set with `POST /lag`. */
export const createHostListStandIn = (port: number, initialLagMs = 0): Promise<StandInServer> => {
    const upstreams = new Map<string, UpstreamRecord>();
    const systemHosts = new Map<string, SystemHostRecord>();

    let lagMs = initialLagMs;

    const applyAfterLag = (change: () => void): void => {
        if (lagMs === 0) {
            change();
        }
        else {
            setTimeout(change, lagMs).unref();
        }
    };

    const routes: readonly Route[] = [
        {
            method: "POST",
            pattern: /^\/lag$/,
            handle: ({ response, body }) => {
                lagMs = (JSON.parse(body) as { lagMs: number; }).lagMs;
                answerJson(response, 200, {});
            },
        },
        {
            method: "GET",
            pattern: /^\/v1\/upstreams$/,
            handle: ({ response }) => answerJson(response, 200, [...upstreams.values()]),
        },
        {
            method: "PUT",
            pattern: /^\/v1\/upstreams\/([^/]+)$/,
            handle: ({ response, body, groups: [id = ""] }) => {
                const record = JSON.parse(body) as UpstreamRecord;
                applyAfterLag(() => upstreams.set(id, record));
                answerJson(response, 200, {});
            },
        },
        {
            method: "DELETE",
            pattern: /^\/v1\/upstreams\/([^/]+)$/,
            handle: ({ response, groups: [id = ""] }) => {
                applyAfterLag(() => upstreams.delete(id));
                answerJson(response, 200, {});
            },
        },
        {
            method: "GET",
            pattern: /^\/v1\/system-hosts$/,
            handle: ({ response }) => answerJson(response, 200, [...systemHosts.values()]),
        },
        {
            method: "PUT",
            pattern: /^\/v1\/system-hosts\/([^/]+)$/,
            handle: ({ response, body, groups: [id = ""] }) => {
                systemHosts.set(id, JSON.parse(body) as SystemHostRecord);
                answerJson(response, 200, {});
            },
        },
    ];
    return createStandInServer(port, routes);
};
