import type { RequestFeatures } from "../codec/requestFeatures";
import type { RecentAnswers } from "./recentAnswers";

/** Number of answers that are kept, and the size of the largest request body. */
const MAXIMUM_ANSWERS = 200;
const MAXIMUM_BODY_BYTES = 8_192;

/**
 * Creates a list without answers.
 *
 * Requests are identified by a hash of their bodies, which is not computed until one of the same account and address is
 * suspected of crashing upstreams. Whether a request was answered before tells one that many clients send from a request that
 * never was answered.
 */
export const createRecentAnswers = (): RecentAnswers => {
    const answers: { readonly features: RequestFeatures; readonly beganAtMs: number; }[] = [];

    return {
        record: (features, beganAtMs) => {
            if (features.bodyBytes <= MAXIMUM_BODY_BYTES) {
                answers.push({ features, beganAtMs });
                answers.splice(0, answers.length - MAXIMUM_ANSWERS);
            }
        },
        lastAnsweredAtMs: featureId =>
            answers.findLast(({ features }) => features.mayBe(featureId) && features.request() === featureId)
                ?.beganAtMs,
    };
};
