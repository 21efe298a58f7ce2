import type { RandomSource, ServiceName } from "@ibislanding/core";
import { Err, Ok, type Result } from "ts-results";
import type { RequestHead } from "../codec/requestHead";
import type { ClientAccount } from "../configuration/clientAccount";
import type { CompiledConfiguration } from "../configuration/compiledConfiguration";
import { findRoute } from "../configuration/findRoute";
import type { Route } from "../configuration/route";
import type { IdentifiedRequest } from "./identifiedRequest";
import type { Refusal } from "./refusal";

/** `Retry-After` while no configuration is known; peers and the store deliver it within this time. */
const NO_CONFIGURATION_RETRY_MS = 300;

const chooseDestination = ({ destinations }: Route, random: RandomSource): ServiceName | undefined => {
    const total = destinations.reduce((sum, { weight }) => sum + weight, 0);
    const point = random.nextFloat() * total;
    let passed = 0;
    return destinations.find(({ weight }) => {
        passed += weight;
        return point < passed;
    })?.service ?? destinations[0]?.service;
};

const unitsOf = (head: RequestHead, account: ClientAccount | undefined): number => {
    if (account === undefined || account.unit === "requests") {
        return 1;
    }
    return head.tokens === undefined ? account.plainTokens : head.tokens.prompt + head.tokens.output;
};

/** Determines the route, the client account and the destination service of a request. */
export const identifyRequest = (
    head: RequestHead,
    configuration: CompiledConfiguration | undefined,
    arrivedAtMs: number,
    random: RandomSource,
): Result<IdentifiedRequest, Refusal> => {
    if (configuration === undefined) {
        return Err({ status: 503, reason: "no_configuration", retryAfterMs: NO_CONFIGURATION_RETRY_MS });
    }
    const route = findRoute(configuration, head.host, head.path);
    if (route === undefined) {
        return Err({ status: 404, reason: "unknown_route" });
    }
    const account = head.apiKey === undefined ? undefined : configuration.accountsByKey.get(head.apiKey);
    if (account === undefined && !route.allowsAnonymous && configuration.source.accounts.length > 0) {
        return Err({ status: 401, reason: "unauthenticated" });
    }
    const service = chooseDestination(route, random);
    if (service === undefined) {
        return Err({ status: 503, reason: "no_destination", retryAfterMs: NO_CONFIGURATION_RETRY_MS });
    }
    return Ok({
        head,
        configuration,
        route,
        account,
        service,
        units: unitsOf(head, account),
        dueAtMs: arrivedAtMs + Math.min(route.timeoutMs, head.deadlineMs ?? Infinity),
    });
};
