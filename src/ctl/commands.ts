import apply from './apply';
import causes from './causes';
import type Command from './Command';
import drain from './drain';
import explain from './explain';
import history from './history';
import jobs from './jobs';
import plan from './plan';
import rollback from './rollback';
import status from './status';
import trace from './trace';
import validate from './validate';

/** The commands of `magnoliakeelctl` by name, in the order in which the help lists them. */
const commands: Readonly<Record<string, Command>> = {
  validate,
  plan,
  apply,
  history,
  rollback,
  status,
  drain,
  jobs,
  trace,
  explain,
  causes,
};

export default commands;
