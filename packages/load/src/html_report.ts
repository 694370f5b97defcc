import type { LoadSummary, Percentiles, SecondStats } from "./load_stats.ts";

const PLOT_WIDTH_PX = 720;
const PLOT_HEIGHT_PX = 160;
const PLOT_MARGIN_PX = 36;

/** Renders the summary of a run as an HTML page with plots. */
export function renderHtmlReport(
  summary: LoadSummary,
  { title = "limpetshed load" }: { title?: string } = {},
): string {
  const { perSecond } = summary;
  const plots = [
    renderPlot("requests sent per second", perSecond.map(({ sent }) => sent)),
    renderPlot(
      "failed requests per second",
      perSecond.map(({ failed }) => failed),
    ),
    renderPlot(
      "cached fraction of prompt tokens",
      perSecond.map(cacheReuseRatio),
    ),
    renderPlot(
      "maximum time to first token, ms",
      perSecond.map(({ firstTokenMaxMs }) => firstTokenMaxMs),
    ),
  ];
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>${escapeHtml(title)}</title>
<style>body{font:14px sans-serif;margin:2em;max-width:60em}
table{border-collapse:collapse}td,th{border:1px solid #999;padding:3px 8px;
text-align:right}th:first-child,td:first-child{text-align:left}</style></head>
<body><h1>${escapeHtml(title)}</h1>
<p>${summary.sent} requests in ${summary.seconds} s,
cache reuse ${summary.cacheReuse.toFixed(3)}</p>
${renderPercentileTable(summary)}
<h2>Outcomes</h2>${renderOutcomeTable(summary.outcomes)}
${plots.join("\n")}
</body></html>
`;
}

function renderPercentileTable(summary: LoadSummary): string {
  const row = (name: string, { p50, p95, p99, max, count }: Percentiles) =>
    `<tr><td>${name}</td>${
      [p50, p95, p99, max].map((ms) => `<td>${ms.toFixed(1)}</td>`).join("")
    }<td>${count}</td></tr>`;
  return `<table><tr><th>ms</th><th>p50</th><th>p95</th><th>p99</th>
<th>max</th><th>count</th></tr>
${row("time to first token", summary.firstToken)}
${row("time between tokens", summary.betweenTokens)}
${row("complete response", summary.total)}</table>`;
}

function renderOutcomeTable(outcomes: Record<string, number>): string {
  const rows = Object.entries(outcomes).map(([name, count]) =>
    `<tr><td>${escapeHtml(name)}</td><td>${count}</td></tr>`
  );
  return `<table>${rows.join("")}</table>`;
}

function cacheReuseRatio({ cachedTokens, promptTokens }: SecondStats): number {
  return promptTokens === 0 ? 0 : cachedTokens / promptTokens;
}

function renderPlot(title: string, values: readonly number[]): string {
  const maxValue = Math.max(...values, 1e-9);
  const x = (index: number) =>
    PLOT_MARGIN_PX +
    index * (PLOT_WIDTH_PX - 2 * PLOT_MARGIN_PX) /
      Math.max(1, values.length - 1);
  const y = (value: number) =>
    PLOT_HEIGHT_PX - PLOT_MARGIN_PX / 2 -
    value / maxValue * (PLOT_HEIGHT_PX - PLOT_MARGIN_PX);
  const points = values.map((value, index) =>
    `${x(index).toFixed(1)},${y(value).toFixed(1)}`
  );
  return `<h2>${escapeHtml(title)}</h2>
<svg width="${PLOT_WIDTH_PX}" height="${PLOT_HEIGHT_PX}" role="img">
<rect x="${PLOT_MARGIN_PX}" y="${PLOT_MARGIN_PX / 2}" width="${
    PLOT_WIDTH_PX - 2 * PLOT_MARGIN_PX
  }"
 height="${PLOT_HEIGHT_PX - PLOT_MARGIN_PX}" fill="#f4f4f4"/>
<polyline fill="none" stroke="#06c" stroke-width="1.5" points="${
    points.join(" ")
  }"/>
<text x="2" y="${PLOT_MARGIN_PX / 2 + 8}" font-size="10">${
    maxValue.toPrecision(3)
  }</text>
<text x="2" y="${PLOT_HEIGHT_PX - PLOT_MARGIN_PX / 2}" font-size="10">0</text>
<text x="${PLOT_WIDTH_PX - PLOT_MARGIN_PX}" y="${
    PLOT_HEIGHT_PX - 2
  }" font-size="10">${values.length} s</text></svg>`;
}

function escapeHtml(text: string): string {
  return text.replace(/&/g, "&amp;").replace(/</g, "&lt;").replace(
    />/g,
    "&gt;",
  );
}
