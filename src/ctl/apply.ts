import type Command from './Command';
import commitAndWait from './commitAndWait';
import limitOption from './limitOption';
import makePlan from './makePlan';
import printResultOf from './printResultOf';
import targetOptions from './targetOptions';

/** Applies a manifest: writes it to the store as the new active version. */
const apply: Command = {
  args: '<file>',
  description: 'Put a manifest in force, unless someone else has changed it meanwhile',
  options: [
    targetOptions.store,
    targetOptions.entry,
    targetOptions.targets,
    {
      flags: '--planned <version>',
      description: 'Version that the plan was made against; the one in force when left out',
    },
    {
      flags: '--wait',
      description: 'End when every live process has it in force, or name those that do not',
    },
    limitOption,
  ],
  run: printResultOf((input, context) =>
    commitAndWait(input, context, () => makePlan(input, context)),
  ),
};

export default apply;
