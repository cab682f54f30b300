// Writes docs/METRICS.md from the table that registers the metrics.
import { readFile, writeFile } from 'node:fs/promises';
import { transform } from 'esbuild';
import { format, resolveConfig } from 'prettier';

const TABLE = 'src/observe/metricTable.ts';
const PAGE = 'docs/METRICS.md';

const INTRODUCTION = `# Metrics

Written by \`npm run generate\` from \`${TABLE}\`, the table that registers them.

Every process shows its metrics as Prometheus text at \`/metrics\` of its operators' address. They are
of that process alone and start at zero with it. Counters are plain additions in memory; text is made
when somebody asks for it. A summary's quantiles cover the last one to two minutes; its \`_sum\` and
\`_count\` cover everything since the start, so rates over any span come from these.
`;

const ROLES = {
  entry: 'Entries',
  sidecar: 'Sidecars',
  batchEntry: 'Entries for batches',
  runSidecar: 'Sidecars for leased runs',
};

const { code } = await transform(await readFile(TABLE, 'utf8'), { loader: 'ts' });
const { default: table } = await import(`data:text/javascript,${encodeURIComponent(code)}`);
const sections = Object.entries(ROLES).map(([role, title]) => describeRole(role, title));
const page = [INTRODUCTION, ...sections].join('\n');
const options = { ...(await resolveConfig(PAGE)), filepath: PAGE };
await writeFile(PAGE, await format(page, options));

function describeRole(role, title) {
  const rows = Object.entries(table).filter(([, row]) => row.roles.includes(role));
  const head = '| metric | kind | unit | labels | meaning |\n| --- | --- | --- | --- | --- |\n';
  return `## ${title}\n\n${head}${rows.map(describeRow).join('\n')}\n`;
}

function describeRow([name, { kind, unit, labels, help }]) {
  const shown = labels.map((label) => `\`${label}\``).join(', ');
  return `| \`magnoliakeel_${name}\` | ${kind} | ${unit} | ${shown} | ${help} |`;
}
