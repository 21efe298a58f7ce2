import { createRandom, type RandomSource } from "@ibislanding/core";
import type { Scenario } from "../scenario/scenario";
import type { Arrival } from "./arrival";

type RequestKind = Scenario["kinds"][number];

const BLOCK_TOKENS = 64;
const SEED_HASH_MULTIPLIER = 0x9e3779b1;
const DISCARDED_NUMBERS = 64;
const MAXIMUM_STANDARD_DEVIATIONS = 3;
const MS_PER_SECOND = 1_000;

const pickWeighted = <T extends { readonly weight: number; }>(members: readonly T[], random: RandomSource): T => {
    const total = members.reduce((sum, { weight }) => sum + weight, 0);
    let left = random.nextFloat() * total;
    return members.find(({ weight }) => (left -= weight) < 0) ?? (members[members.length - 1] as T);
};

const nextNormal = (random: RandomSource): number =>
    Math.sqrt(-2 * Math.log(1 - random.nextFloat())) * Math.cos(2 * Math.PI * random.nextFloat());

const nextExponential = (mean: number, random: RandomSource): number => -mean * Math.log(1 - random.nextFloat());

const createBlockHashes = (label: string, tokens: number): readonly string[] =>
    Array.from({ length: Math.floor(tokens / BLOCK_TOKENS) }, (_, index) => `${label}/${index}`);

interface Prefix {
    readonly weight: number;
    readonly tokens: number;
    readonly label: string;
}

const createPrefixes = (kind: RequestKind, random: RandomSource): readonly Prefix[] =>
    Array.from({ length: kind.sharedPrefixes }, (_, index) => ({
        weight: 1 / (index + 1) ** kind.popularityExponent,
        tokens: Math.round(
            kind.prefixTokens * Math.exp(kind.prefixSpread * Math.min(MAXIMUM_STANDARD_DEVIATIONS, nextNormal(random))),
        ),
        label: `${kind.name}-${index}`,
    }));

/** Creates a random source whose first numbers are not correlated between adjacent seeds. */
const createDecorrelatedRandom = (seed: number): RandomSource => {
    const random = createRandom(Math.imul(seed, SEED_HASH_MULTIPLIER));
    Array.from({ length: DISCARDED_NUMBERS }, random.nextFloat);
    return random;
};

/** Creates the requests of a scenario as a Poisson process, fully determined by the seed. */
export const createWorkload = (scenario: Scenario, seed: number): readonly Arrival[] => {
    const random = createDecorrelatedRandom(seed);
    const kinds = scenario.kinds.map(kind => ({ ...kind, prefixes: createPrefixes(kind, random) }));
    const systemBlocks = createBlockHashes("system", scenario.systemPromptTokens);
    const meanGapMs = MS_PER_SECOND / scenario.requestsPerSecond;
    const arrivals: Arrival[] = [];
    for (let atMs = 0; atMs < scenario.durationMs; atMs += nextExponential(meanGapMs, random)) {
        const kind = pickWeighted(kinds, random);
        const prefix = pickWeighted(kind.prefixes, random);
        const requestId = `r-${arrivals.length}`;
        const uniqueTokens = Math.max(1, Math.round(kind.uniqueTokens * (0.5 + random.nextFloat())));
        arrivals.push({
            requestId,
            atMs,
            account: pickWeighted(scenario.accounts, random),
            entryHost: random.nextInt(scenario.entryHosts),
            promptTokens: scenario.systemPromptTokens + prefix.tokens + uniqueTokens,
            answerTokens: Math.max(1, Math.round(nextExponential(kind.answerTokens, random))),
            blockHashes: [
                ...systemBlocks,
                ...createBlockHashes(prefix.label, prefix.tokens),
                ...createBlockHashes(requestId, uniqueTokens),
            ],
        });
    }
    return arrivals;
};
