import type CommandOption from './CommandOption';

/** Time limit of --wait. */
const limitOption: CommandOption = {
  flags: '--limit <seconds>',
  description: 'Longest time that --wait takes',
  default: 30,
};

export default limitOption;
