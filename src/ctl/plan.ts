import type Command from './Command';
import describeVersion from './describeVersion';
import formatChanges from './formatChanges';
import makePlan from './makePlan';
import type ManifestPlan from './ManifestPlan';
import type Report from './Report';
import reporting from './reporting';
import targetOptions from './targetOptions';

/** Shows what applying a manifest would change. */
const plan: Command = {
  args: '<file>',
  description: 'Show what applying a manifest would change, and change nothing',
  options: [targetOptions.store, targetOptions.targets],
  run: reporting(async (input, context) => (await makePlan(input, context)).map(describe)),
};

export default plan;

function describe({ current, changes }: ManifestPlan): Report {
  const version = current?.version ?? 0;
  const head = `In force: ${describeVersion(current)}`;
  const lines =
    changes.length === 0
      ? [head, 'The manifest changes nothing.']
      : [head, `Version ${version + 1} would change:`, ...formatChanges(changes)];
  return { lines, json: { version, changes } };
}
