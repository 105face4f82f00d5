S=/work/given/kit/more/system
cd /tmp/sp/trial2; $S/bin/fleetbench run $S/sites/vasd-grade.toml review/6/day.toml --seed 1 --jobs 1 --log core --why "Trial: review case 6 with snapshots due as late as before, to see what a full disk can still free" --report /tmp/sp/r6-reserve.json > /tmp/sp/r6-reserve.txt 2>&1; echo "rc $?" >> /tmp/sp/r6-reserve.txt
