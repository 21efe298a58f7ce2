import type { ExperimentResult } from "../simulation/experimentResult";
import { formatText } from "./formatText";
import type { PolicySummary } from "./policySummary";

const WIDTH = 800;
const HEIGHT = 160;
const COLOURS = ["#1b6ca8", "#c0392b", "#27823b", "#8e5ea2", "#b8860b"];

const escapeHtml = (text: string): string =>
    text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(">", "&gt;");

const renderLine = (values: readonly number[], colour: string): string => {
    const points = values.map((value, index) =>
        `${(index / Math.max(1, values.length - 1) * WIDTH).toFixed(1)},${(HEIGHT * (1 - value)).toFixed(1)}`
    );
    return `<polyline fill="none" stroke="${colour}" points="${points.join(" ")}"/>`;
};

const renderBarChart = (name: string, summaries: readonly PolicySummary[]): string => {
    const largest = Math.max(Number.MIN_VALUE, ...summaries.map(({ measures }) => measures[name]?.median ?? 0));
    const bars = summaries.map(({ policy, measures }, index) => {
        const value = measures[name]?.median ?? 0;
        const width = value / largest * (WIDTH - 300);
        const top = index * 24;
        return `<text x="0" y="${top + 15}">${policy}</text><rect x="140" y="${top}" width="${width.toFixed(1)}" `
            + `height="18" fill="${COLOURS[index]}"/><text x="${(150 + width).toFixed(1)}" y="${top + 15}">`
            + `${value.toFixed(value >= 100 ? 0 : 3)}</text>`;
    });
    const height = summaries.length * 24;
    return `<h2>${escapeHtml(name)}</h2><svg width="${WIDTH}" height="${height}">${bars.join("")}</svg>`;
};

/**
 * Returns a self-contained page: the share of requests within target over time for the first seed, bar charts of the
 * medians of some measures, and the table of all measures.
 */
export const formatHtml = (
    title: string,
    summaries: readonly PolicySummary[],
    results: readonly ExperimentResult[],
): string => {
    const firstSeed = results[0]?.seed;
    const seriesLines = results.filter(({ seed }) => seed === firstSeed)
        .map(({ targetShareBySecond }, index) => renderLine(targetShareBySecond, COLOURS[index] ?? "black"));
    const chartedMeasures = ["recomputedTokens", "firstTokenMsP95", "targetShare", "goodputPerSecond", "refusedShare"];
    return [
        `<!doctype html><html lang="en"><meta charset="utf-8"><title>${escapeHtml(title)}</title>`,
        "<style>body { font: 14px sans-serif; margin: 2em; } svg { overflow: visible; }</style>",
        `<h1>${escapeHtml(title)}</h1>`,
        `<h2>Share of requests within target by second of arrival, seed ${firstSeed ?? ""}</h2>`,
        `<svg width="${WIDTH}" height="${HEIGHT}">${seriesLines.join("")}</svg>`,
        ...chartedMeasures.map(name => renderBarChart(name, summaries)),
        `<h2>Table</h2><pre>${escapeHtml(formatText(title, summaries))}</pre></html>\n`,
    ].join("\n");
};
