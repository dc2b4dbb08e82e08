.PHONY: build test lint format run benchmark

JAVA_OPTIONS = -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:SharedArchiveFile=target/crankwick.jsa -Xmx48m

build:
	mvn -q -DskipTests package
	deploy/archive-classes

test:
	.ci/run

lint:
	mvn -B -ntp -DskipTests test-compile spotless:check pmd:check

run:
	$(if $(CONFIG),ROUTER_CONFIG=$(CONFIG)) java $(JAVA_OPTIONS) -jar target/crankwick.jar serve $(OPERATOR)

benchmark:
	mvn -q test-compile dependency:build-classpath -Dmdep.outputFile=target/classpath -Dmdep.includeScope=test
	java -Xmx2g -cp target/test-classes:target/classes:$$(cat target/classpath) org.openjdk.jmh.Main

format:
	mvn -B -ntp spotless:apply
