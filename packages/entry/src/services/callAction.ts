import type { AccountId, Failure } from "@ibislanding/core";
import type { ResourceOf } from "@ibislanding/resources";
import type { ServiceCall, ServiceResponse } from "@ibislanding/upstreams";
import type { IncomingMessage } from "node:http";
import type { Result } from "ts-results";
import type { CallerContext } from "../callers/callerContext";
import type { EntryServices } from "../entryServices";
import { digestOfAction } from "./digestOfAction";
import { parseActionKey } from "./parseActionKey";
import { sendAction } from "./sendAction";

const REPLAYED_HEADER = "idempotent-replayed";

/** Executes a non-idempotent call at most once per client account and idempotency key. */
export const callAction = async (
    services: EntryServices,
    service: ResourceOf<"Service">,
    call: ServiceCall,
    incoming: IncomingMessage,
    context: CallerContext,
): Promise<Result<ServiceResponse, Failure>> => {
    const key = parseActionKey(incoming.headers["idempotency-key"]);
    if (key.err) {
        return key;
    }
    const { deduplicates, repeatable } = service.spec;
    const outcome = await services.ledger.runAction({
        accountId: context.account.name as AccountId,
        key: key.val,
        requestSha256: digestOfAction({ ...call, service: service.name }),
        timeoutMs: call.timeoutMs,
        service: { deduplicates, repeatable },
        send: ({ timeoutMs }) => sendAction(services, service.name, { ...call, timeoutMs }),
    });
    return outcome.map(({ answer, replayed }) =>
        replayed ? { ...answer, headers: { ...answer.headers, [REPLAYED_HEADER]: "true" } } : answer
    );
};
