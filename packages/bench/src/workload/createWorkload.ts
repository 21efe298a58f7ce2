import { createRandom, type RandomSource } from "@ibislanding/core";
import type { Scenario } from "../scenario/scenario";
import type { Arrival } from "./arrival";

type Kind = Scenario["kinds"][number];

const BLOCK_TOKENS = 64;
const SEED_MULTIPLIER = 0x9e3779b1;
const SKIPPED_NUMBERS = 64;
const LARGEST_DEVIATION = 3;
const MS_PER_SECOND = 1_000;

const pickWeighted = <T extends { readonly weight: number; }>(members: readonly T[], random: RandomSource): T => {
    const total = members.reduce((sum, { weight }) => sum + weight, 0);
    let left = random.nextFloat() * total;
    return members.find(({ weight }) => (left -= weight) < 0) ?? (members[members.length - 1] as T);
};

const nextNormal = (random: RandomSource): number =>
    Math.sqrt(-2 * Math.log(1 - random.nextFloat())) * Math.cos(2 * Math.PI * random.nextFloat());

const nextExponential = (mean: number, random: RandomSource): number => -mean * Math.log(1 - random.nextFloat());

const blocksOf = (label: string, tokens: number): readonly string[] =>
    Array.from({ length: Math.floor(tokens / BLOCK_TOKENS) }, (_, index) => `${label}/${index}`);

interface Prefix {
    readonly weight: number;
    readonly tokens: number;
    readonly label: string;
}

const createPrefixes = (kind: Kind, random: RandomSource): readonly Prefix[] =>
    Array.from({ length: kind.sharedPrefixes }, (_, index) => ({
        weight: 1 / (index + 1) ** kind.popularityExponent,
        tokens: Math.round(
            kind.prefixTokens * Math.exp(kind.prefixSpread * Math.min(LARGEST_DEVIATION, nextNormal(random))),
        ),
        label: `${kind.name}-${index}`,
    }));

/** Creates a source whose first numbers differ well between neighbouring seeds. */
const createSpreadRandom = (seed: number): RandomSource => {
    const random = createRandom(Math.imul(seed, SEED_MULTIPLIER));
    Array.from({ length: SKIPPED_NUMBERS }, random.nextFloat);
    return random;
};

/** Creates the arrivals of a scenario: a Poisson process whose every value follows from the seed. */
export const createWorkload = (scenario: Scenario, seed: number): readonly Arrival[] => {
    const random = createSpreadRandom(seed);
    const kinds = scenario.kinds.map(kind => ({ ...kind, prefixes: createPrefixes(kind, random) }));
    const systemBlocks = blocksOf("system", scenario.systemPromptTokens);
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
                ...blocksOf(prefix.label, prefix.tokens),
                ...blocksOf(requestId, uniqueTokens),
            ],
        });
    }
    return arrivals;
};
