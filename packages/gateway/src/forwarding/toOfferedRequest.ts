import type { OfferedRequest } from "@ibislanding/admission";
import type { AdmittedRequest } from "./admittedRequest";

/** Units of a request without a token count. */
const PLAIN_UNITS = 1;

/** Creates the description of a request for its admission; the account's urgency takes precedence over the route's. */
export const toOfferedRequest = ({ service, account, route, head }: AdmittedRequest): OfferedRequest => ({
    service,
    urgency: account?.priority ?? route.priority,
    accountId: account?.accountId ?? "",
    units: head.tokens === undefined ? PLAIN_UNITS : head.tokens.prompt + head.tokens.output,
});
