import type { LoadSecond, LoadSummary, Percentiles } from "./load_stats.ts";

const WIDTH = 720;
const HEIGHT = 160;
const MARGIN = 36;

/** Makes a report page with plots from a run's summary. */
export function htmlReport(
  summary: LoadSummary,
  { title = "limpetshed load" }: { title?: string } = {},
): string {
  const { perSecond } = summary;
  const plots = [
    plot("requests sent a second", perSecond.map(({ sent }) => sent)),
    plot(
      "requests not answered whole a second",
      perSecond.map(({ failed }) => failed),
    ),
    plot(
      "cached part of prompt tokens",
      perSecond.map(reuse),
    ),
    plot(
      "longest time to the first token, ms",
      perSecond.map(({ firstTokenMaxMs }) => firstTokenMaxMs),
    ),
  ];
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>${escape(title)}</title>
<style>body{font:14px sans-serif;margin:2em;max-width:60em}
table{border-collapse:collapse}td,th{border:1px solid #999;padding:3px 8px;
text-align:right}th:first-child,td:first-child{text-align:left}</style></head>
<body><h1>${escape(title)}</h1>
<p>${summary.sent} requests in ${summary.seconds} s,
cache reuse ${summary.cacheReuse.toFixed(3)}</p>
${percentileTable(summary)}
<h2>Outcomes</h2>${outcomeTable(summary.outcomes)}
${plots.join("\n")}
</body></html>
`;
}

function percentileTable(summary: LoadSummary): string {
  const row = (name: string, { p50, p95, p99, max, count }: Percentiles) =>
    `<tr><td>${name}</td>${
      [p50, p95, p99, max].map((ms) => `<td>${ms.toFixed(1)}</td>`).join("")
    }<td>${count}</td></tr>`;
  return `<table><tr><th>ms</th><th>p50</th><th>p95</th><th>p99</th>
<th>max</th><th>count</th></tr>
${row("first token", summary.firstToken)}
${row("between tokens", summary.betweenTokens)}
${row("whole answer", summary.total)}</table>`;
}

function outcomeTable(outcomes: Record<string, number>): string {
  const rows = Object.entries(outcomes).map(([name, count]) =>
    `<tr><td>${escape(name)}</td><td>${count}</td></tr>`
  );
  return `<table>${rows.join("")}</table>`;
}

function reuse({ cachedTokens, promptTokens }: LoadSecond): number {
  return promptTokens === 0 ? 0 : cachedTokens / promptTokens;
}

function plot(title: string, values: readonly number[]): string {
  const top = Math.max(...values, 1e-9);
  const x = (index: number) =>
    MARGIN + index * (WIDTH - 2 * MARGIN) / Math.max(1, values.length - 1);
  const y = (value: number) =>
    HEIGHT - MARGIN / 2 - value / top * (HEIGHT - MARGIN);
  const points = values.map((value, index) =>
    `${x(index).toFixed(1)},${y(value).toFixed(1)}`
  );
  return `<h2>${escape(title)}</h2>
<svg width="${WIDTH}" height="${HEIGHT}" role="img">
<rect x="${MARGIN}" y="${MARGIN / 2}" width="${WIDTH - 2 * MARGIN}"
 height="${HEIGHT - MARGIN}" fill="#f4f4f4"/>
<polyline fill="none" stroke="#06c" stroke-width="1.5" points="${
    points.join(" ")
  }"/>
<text x="2" y="${MARGIN / 2 + 8}" font-size="10">${top.toPrecision(3)}</text>
<text x="2" y="${HEIGHT - MARGIN / 2}" font-size="10">0</text>
<text x="${WIDTH - MARGIN}" y="${
    HEIGHT - 2
  }" font-size="10">${values.length} s</text></svg>`;
}

function escape(text: string): string {
  return text.replace(/&/g, "&amp;").replace(/</g, "&lt;").replace(
    />/g,
    "&gt;",
  );
}
