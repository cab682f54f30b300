import type Command from './Command';
import describeVersion from './describeVersion';
import formatChanges from './formatChanges';
import makePlan from './makePlan';
import type ManifestPlan from './ManifestPlan';
import type CommandReport from './CommandReport';
import printResultOf from './printResultOf';
import targetOptions from './targetOptions';

/** Shows what applying a manifest would change, without applying it. */
const plan: Command = {
  args: '<file>',
  description: 'Show what applying a manifest would change, and change nothing',
  options: [targetOptions.store, targetOptions.targets],
  run: printResultOf(async (input, context) => (await makePlan(input, context)).map(describe)),
};

export default plan;

function describe({ current, changes }: ManifestPlan): CommandReport {
  const version = current?.version ?? 0;
  const heading = `In force: ${describeVersion(current)}`;
  const lines =
    changes.length === 0
      ? [heading, 'The manifest changes nothing.']
      : [heading, `Version ${version + 1} would change:`, ...formatChanges(changes)];
  return { lines, json: { version, changes } };
}
