import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { createFeatureId } from "@ibislanding/quarantine";
import { Err, Ok, type Result } from "ts-results";
import { sharedPartIds } from "../codec/sharedPartIds";
import { findRoute } from "../configuration/findRoute";
import { explainDestination } from "./explainDestination";
import type { ExplainRouteOptions } from "./explainRouteOptions";
import type { RouteExplanation } from "./routeExplanation";
import type { RouteQuery } from "./routeQuery";

/**
 * Explains where this host would send a new request now. Nothing is sent, counted or charged; the account is taken to be
 * within its limit, as asking for it would charge it.
 */
export const explainRoute = (options: ExplainRouteOptions, query: RouteQuery): Result<RouteExplanation, Failure> => {
    const { configuration, upstreams, quarantine } = options;
    const { host, path, apiKey, promptTokens, promptParts, deadlineMs } = query;
    if (configuration === undefined) {
        return Err(createFailure(ErrorCode.NotReady, { message: "This host has no configuration yet." }));
    }
    const { version, accounts } = configuration.source;
    const route = findRoute(configuration, host, path);
    if (route === undefined) {
        const message = configuration.routesByHost.has(host)
            ? `Version ${version} of the configuration has no route of host "${host}" for the path "${path}".`
            : `Version ${version} of the configuration has no route of host "${host}".`;
        return Err(createFailure(ErrorCode.UnknownRoute, { message }));
    }
    const account = apiKey === undefined ? undefined : configuration.accountsByKey.get(apiKey);
    if (account === undefined && !route.allowsAnonymous && accounts.length > 0) {
        const reason = apiKey === undefined ? "no key was given" : "no account has the given key";
        const message = `Route "${route.name}" requires an account, and ${reason}.`;
        return Err(createFailure(ErrorCode.Unauthenticated, { message }));
    }
    const { objectiveMs, isResumable } = route;
    const remainingMs = Math.min(route.timeoutMs, deadlineMs ?? Infinity);
    const quarantined = new Set(quarantine.features().map(({ featureId }) => featureId));
    return Ok({
        configurationVersion: version,
        route: route.name,
        pathPrefix: route.pathPrefix,
        objectiveMs,
        remainingMs,
        priority: account?.priority ?? route.priority,
        accountId: account?.accountId,
        isDrawn: upstreams.areLoadsOld(),
        quarantinedParts: sharedPartIds(promptParts).filter(partId => quarantined.has(createFeatureId("part", partId))),
        destinations: route.destinations.map(destination =>
            explainDestination(options, destination, {
                promptTokens,
                promptParts,
                objectiveMs,
                remainingMs,
                requiresSpareCapacity: false,
                requiresKnownVersion: isResumable,
                excluded: new Set(),
                softwareVersion: undefined,
            })
        ),
    });
};
